//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A client proxy that spreads an application's requests over a fleet of hosts.
///
/// SIGHUP reloads the configuration files; SIGTERM answers open requests and exits. docs/configuration.md explains
/// every key.
#[derive(Debug, Parser)]
#[command(
    name = "nettleworks",
    version,
    after_help = "\
Examples:
  nettleworks FILE [--keys FILE]
  nettleworks check FILE [--keys FILE]
  nettleworks keys list --state unsure --socket FILE
  nettleworks keys settle ID --as ran --why REASON --socket FILE
  nettleworks members --members FILE"
)]
pub struct Arguments {
    /// Configuration to serve with; the file that ROUTER_CONFIG names if not given
    pub file: Option<PathBuf>,
    /// Settings of a store of idempotency keys; no store if not given
    #[arg(long, global = true, value_name = "FILE")]
    pub keys: Option<PathBuf>,
    /// Settings of the cluster membership; not a member if not given
    #[arg(long, global = true, value_name = "FILE")]
    pub members: Option<PathBuf>,
    /// Number of engines that serve together, each on a thread of its own
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=32))]
    pub cores: u8,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check whether a file is a valid configuration; exit status 1 if not
    Check {
        /// The configuration
        file: PathBuf,
    },
    /// Show the members that a running proxy knows, and its own standing among them
    Members {
        /// The proxy's operators' socket; the one that the file of --members names if not given
        #[arg(long, value_name = "FILE")]
        socket: Option<PathBuf>,
        /// Print the whole report as one JSON object
        #[arg(long)]
        json: bool,
        /// Only members in this condition: alive, suspected, failed or left
        #[arg(long)]
        condition: Option<String>,
    },
    /// List a running proxy's idempotency keys, and settle one by hand
    Keys {
        #[command(subcommand)]
        command: KeysCommand,
        /// The proxy's operators' socket; the one that the file of --keys names if not given
        #[arg(long, global = true, value_name = "FILE")]
        socket: Option<PathBuf>,
    },
}

#[derive(Debug, Subcommand)]
pub enum KeysCommand {
    /// List keys, the oldest first
    List(ListArguments),
    /// Show one key
    Show {
        /// The key's id, as shown in the list
        id: String,
    },
    /// Record whether an unsure key's request ran; an answer that still arrives takes precedence
    Settle {
        /// The key's id, as shown in the list
        id: String,
        /// Whether the request ran
        #[arg(long = "as", value_enum)]
        verdict: SettledAs,
        /// How this is known; written to the log
        #[arg(long)]
        why: String,
    },
}

#[derive(Debug, Args)]
pub struct ListArguments {
    /// Only keys in this state: running, answered, forgotten, unsure, ran or never-ran
    #[arg(long)]
    pub state: Option<String>,
    /// Only keys of this class
    #[arg(long)]
    pub class: Option<String>,
    /// Only keys of this tenant
    #[arg(long)]
    pub tenant: Option<String>,
    /// Only keys whose first request arrived at least this many seconds ago
    #[arg(long, default_value_t = 0, value_name = "SECONDS")]
    pub older: u64,
    /// Only the key in this file, or on standard input for "-": keys are secrets and do not belong on command lines
    #[arg(long, value_name = "FILE")]
    pub key_from: Option<PathBuf>,
    /// Most keys to list
    #[arg(long, default_value_t = 100)]
    pub most: usize,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum SettledAs {
    /// It ran: the responses to further requests with the key say so, and none is sent to a host
    Ran,
    /// It never ran: the next request with the key counts as the first
    NeverRan,
}
