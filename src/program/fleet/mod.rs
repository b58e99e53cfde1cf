//! `poppykeel fleet`: what a running node says of its fleet, and the order to take all nodes out one after the other.

mod admin_call;
mod tables;

use admin_call::call;
pub use admin_call::AdminCallError;
use clap::{Args, Subcommand};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

// Comments of items that the command line is derived from are not doc comments where they are not to be shown in its help.

// The arguments of `poppykeel fleet`.
#[derive(Args)]
pub(super) struct FleetCommand {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Show members, keepers, and who holds what for how long
    Status(ShowArguments),
    /// Show the fleet's budgets: whole, floors, what is given to whom, and what is free
    Budgets(ShowArguments),
    /// Show what crossed between zones at this node: by minute, class and tenant
    Crossings(ShowArguments),
    /// Take all nodes out one after the other: each lets its clients go, stays out for a while and comes back
    Roll(RollArguments),
}

#[derive(Args)]
struct RollArguments {
    /// The operators' address of any node of the fleet
    #[arg(long, env = "GW_ADMIN", value_name = "ADDRESS")]
    admin: SocketAddr,
    /// At most so many nodes are out at once
    #[arg(long = "out", default_value_t = 1, value_name = "OUT")]
    max_out: u32,
    /// Each stays out for so long once its clients have gone
    #[arg(long = "hold", default_value = "0s", value_name = "HOLD", value_parser = humantime::parse_duration)]
    stay_out: Duration,
}

#[derive(Args)]
struct ShowArguments {
    /// The operators' address of any node of the fleet
    #[arg(long, env = "GW_ADMIN", value_name = "ADDRESS")]
    admin: SocketAddr,
    /// As the node tells it, as JSON
    #[arg(long)]
    json: bool,
}

impl FleetCommand {
    /// Asks the node and prints what it says.
    ///
    /// # Errors
    /// Where the node can't be reached, or its answer can't be read.
    pub(super) fn run(&self) -> Result<(), AdminCallError> {
        match &self.action {
            Action::Status(arguments) => {
                let status = show(arguments, "fleet")?;
                print_as(arguments, &status, tables::status);
            }
            Action::Budgets(arguments) => {
                let status = show(arguments, "fleet")?;
                if arguments.json {
                    println!("{:#}", status["budgets"]);
                } else {
                    print!("{}", tables::budgets(&status));
                }
            }
            Action::Crossings(arguments) => {
                let rows = show(arguments, "crossings")?;
                print_as(arguments, &rows, tables::cross_zone_traffic);
            }
            Action::Roll(arguments) => {
                let max_out = arguments.max_out;
                let stay_out_ms = arguments.stay_out.as_millis();
                let request = format!("POST /api/fleet/roll?out={max_out}&hold_ms={stay_out_ms}");
                let answer = call(arguments.admin, &request)?;
                println!("{answer}\n'poppykeel fleet status' shows how far it is");
            }
        }
        Ok(())
    }
}

/// Asks the node for what is shown.
fn show(arguments: &ShowArguments, path: &str) -> Result<Value, AdminCallError> {
    let body = call(arguments.admin, &format!("GET /api/{path}"))?;
    serde_json::from_str(&body).map_err(|source| AdminCallError::Json {
        admin: arguments.admin,
        source,
    })
}

/// Prints an answer as JSON or as a table.
fn print_as(arguments: &ShowArguments, answer: &Value, table: impl Fn(&Value) -> String) {
    if arguments.json {
        println!("{answer:#}");
    } else {
        print!("{}", table(answer));
    }
}
