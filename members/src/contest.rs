//! Another process under this one's name. A life of its own that is over may be spoken of as well, at another address: the
//! two are told apart by asking there.

use crate::claim::Incarnation;
use crate::Micros;
use std::net::SocketAddr;

/// How often it is asked before nobody is taken to be there.
const ASKS: u32 = 3;

/// A question whether somebody else has this name.
#[derive(Clone, Debug)]
pub(crate) struct Contest {
    pub number: u32,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub next_at: Micros,
    left: u32,
}

/// What a contest does next.
pub(crate) enum Next {
    /// Ask once more.
    Ask,
    /// Nobody is there: that life is over.
    Over,
}

impl Contest {
    pub fn new(number: u32, address: SocketAddr, incarnation: Incarnation, next_at: Micros) -> Contest {
        Contest { number, address, incarnation, next_at, left: ASKS - 1 }
    }

    pub fn next(&mut self, at: Micros) -> Next {
        if self.left == 0 {
            return Next::Over;
        }
        self.left -= 1;
        self.next_at = at;
        Next::Ask
    }
}
