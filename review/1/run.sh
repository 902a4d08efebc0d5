#!/bin/sh
# Exit status: 0, the rule held; 1, it was broken; 2, the case couldn't run. TROUBLE=0: without second answers.
case=second_answer
. "$(dirname "$0")/../stand/run_case.sh"
