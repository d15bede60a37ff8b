//! The `scale` subcommand: measures how time and memory grow with the size of each table.

use eyre::WrapErr;

use super::args::ScaleArgs;
use crate::scale;

pub(super) fn run(args: ScaleArgs) -> eyre::Result<()> {
    let report =
        scale::measure().wrap_err_with(|| "could not measure the time and memory of the tables")?;
    if !args.json {
        print!("{report}");
        return Ok(());
    }
    let text = serde_json::to_string_pretty(&report)
        .wrap_err_with(|| "could not serialize the report as JSON")?;
    println!("{text}");
    Ok(())
}
