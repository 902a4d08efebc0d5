//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A client proxy that spreads an application's requests over a fleet of hosts.
///
/// SIGHUP reads the files again; SIGTERM answers what was taken and ends. docs/configuration.md explains every key.
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
    /// Serve as this file says; without it as the file that ROUTER_CONFIG names
    pub file: Option<PathBuf>,
    /// With a store of idempotency keys, as this file says
    #[arg(long, global = true, value_name = "FILE")]
    pub keys: Option<PathBuf>,
    /// As one of the client proxies that know each other, as this file says
    #[arg(long, global = true, value_name = "FILE")]
    pub members: Option<PathBuf>,
    /// With so many engines, a thread each, that serve as one
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=32))]
    pub cores: u8,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Say whether a file is a good configuration; exit status 1 if not
    Check {
        /// The configuration
        file: PathBuf,
    },
    /// Show whom a running proxy takes to be there, and where it stands among them
    Members {
        /// The proxy's operators' socket; without it the one that the file of --members names
        #[arg(long, value_name = "FILE")]
        socket: Option<PathBuf>,
        /// All that it says, as one JSON object
        #[arg(long)]
        json: bool,
        /// Only those in this condition: alive, suspected, failed or left
        #[arg(long)]
        condition: Option<String>,
    },
    /// Look at a running proxy's idempotency keys, and settle one by hand
    Keys {
        #[command(subcommand)]
        command: KeysCommand,
        /// The proxy's operators' socket; without it the one that the file of --keys names
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
        /// Its id, as the list has it
        id: String,
    },
    /// Say of an unsure key whether it ran; an answer that comes all the same holds against it
    Settle {
        /// Its id, as the list has it
        id: String,
        /// What is known of it now
        #[arg(long = "as", value_enum)]
        verdict: SettledAs,
        /// How it is known; the log has it
        #[arg(long)]
        why: String,
    },
}

#[derive(Debug, Args)]
pub struct ListArguments {
    /// Those at this: running, answered, forgotten, unsure, ran or never-ran
    #[arg(long)]
    pub state: Option<String>,
    /// Those of this class
    #[arg(long)]
    pub class: Option<String>,
    /// Those of this tenant
    #[arg(long)]
    pub tenant: Option<String>,
    /// Those whose first request came so many seconds ago or more
    #[arg(long, default_value_t = 0, value_name = "SECONDS")]
    pub older: u64,
    /// The key that this file holds, or standard input where it is "-": keys do not belong on command lines
    #[arg(long, value_name = "FILE")]
    pub key_from: Option<PathBuf>,
    /// Most that are listed
    #[arg(long, default_value_t = 100)]
    pub most: usize,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum SettledAs {
    /// It ran: each request with it is told so, and none goes to a host
    Ran,
    /// It never ran: the next request with it is a first
    NeverRan,
}
