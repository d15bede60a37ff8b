//! Runs a load test and prints its summary.

use applefold_standins::{run_load, LatencySummary};
use eyre::{Result, WrapErr};

use super::LoadArgs;

pub(crate) fn run(args: LoadArgs) -> Result<()> {
    let plan = args.plan();
    let summary = actix_rt::System::new().block_on(run_load(&plan));
    if args.json {
        let text = serde_json::to_string(&summary);
        println!("{}", text.wrap_err_with(|| "cannot serialize the summary")?);
        return Ok(());
    }
    println!("whole {}, wrong {}", summary.whole, summary.wrong);
    for (kind, count) in &summary.errors {
        println!("error {kind}: {count}");
    }
    println!(
        "{:.1} requests/s in {:.2} s",
        summary.requests_per_s, summary.seconds
    );
    print_latency("first byte", &summary.first_byte);
    print_latency("end", &summary.end);
    Ok(())
}

fn print_latency(name: &str, latency: &LatencySummary) {
    let LatencySummary {
        median_us,
        p99_us,
        max_us,
    } = latency;
    println!("{name}: median {median_us} us, p99 {p99_us} us, max {max_us} us");
}
