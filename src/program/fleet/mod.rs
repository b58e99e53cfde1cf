//! `poppykeel fleet`: shows the state of a fleet as a running node reports it, and starts a rolling restart.

mod admin_call;
mod tables;

use admin_call::call;
pub use admin_call::AdminCallError;
use clap::{Args, Subcommand};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

// clap prints the doc comments of these types as help texts. Comments that are not help texts use `//`.

// The arguments of `poppykeel fleet`.
#[derive(Args)]
pub(super) struct FleetCommand {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Show the members, the keepers (lease servers), and the holder and remaining time of each lease
    Status(ShowArguments),
    /// Show the budgets: limits, floors, the share granted to each node, and what is unallocated
    Budgets(ShowArguments),
    /// Show this node's requests to other zones by minute, class and tenant
    Crossings(ShowArguments),
    /// Take all nodes out of service in turn: each drains its clients, stays out for the hold time and returns
    Roll(RollArguments),
}

#[derive(Args)]
struct RollArguments {
    /// Admin address of any node of the fleet
    #[arg(long, env = "GW_ADMIN", value_name = "ADDRESS")]
    admin: SocketAddr,
    /// Largest number of nodes that are out of service at the same time
    #[arg(long = "out", default_value_t = 1, value_name = "OUT")]
    max_out: u32,
    /// How long each node stays out of service after its last client has left, such as 30s
    #[arg(long = "hold", default_value = "0s", value_name = "HOLD", value_parser = humantime::parse_duration)]
    stay_out: Duration,
}

#[derive(Args)]
struct ShowArguments {
    /// Admin address of any node of the fleet
    #[arg(long, env = "GW_ADMIN", value_name = "ADDRESS")]
    admin: SocketAddr,
    /// Print the JSON of the node's response
    #[arg(long)]
    json: bool,
}

impl FleetCommand {
    /// Sends the request to the node and prints its response.
    ///
    /// # Errors
    /// If the node can't be reached or its response can't be parsed.
    pub(super) fn run(&self) -> Result<(), AdminCallError> {
        match &self.action {
            Action::Status(arguments) => {
                let status = fetch(arguments, "fleet")?;
                print_response(arguments, &status, tables::format_status);
            }
            Action::Budgets(arguments) => {
                let status = fetch(arguments, "fleet")?;
                if arguments.json {
                    println!("{:#}", status["budgets"]);
                } else {
                    print!("{}", tables::format_budgets(&status));
                }
            }
            Action::Crossings(arguments) => {
                let rows = fetch(arguments, "crossings")?;
                print_response(arguments, &rows, tables::format_cross_zone_traffic);
            }
            Action::Roll(arguments) => {
                let max_out = arguments.max_out;
                let stay_out_ms = arguments.stay_out.as_millis();
                let request = format!("POST /api/fleet/roll?out={max_out}&hold_ms={stay_out_ms}");
                let response = call(arguments.admin, &request)?;
                println!("{response}\n'poppykeel fleet status' shows the progress");
            }
        }
        Ok(())
    }
}

/// Gets the JSON of `/api/{path}` from the node.
fn fetch(arguments: &ShowArguments, path: &str) -> Result<Value, AdminCallError> {
    let body = call(arguments.admin, &format!("GET /api/{path}"))?;
    serde_json::from_str(&body).map_err(|source| AdminCallError::Json {
        admin: arguments.admin,
        source,
    })
}

/// Prints a response as JSON or as a table.
fn print_response(
    arguments: &ShowArguments,
    response: &Value,
    format_table: impl Fn(&Value) -> String,
) {
    if arguments.json {
        println!("{response:#}");
    } else {
        print!("{}", format_table(response));
    }
}
