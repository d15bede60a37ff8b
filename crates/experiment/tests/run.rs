//! The experiment is a function of its arguments.

use std::process::Command;

fn run(args: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_applefold-experiment"));
    let output = command.arg("run").args(args).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

fn rows(args: &[&str]) -> Vec<serde_json::Value> {
    serde_json::from_str(&run(args)).unwrap()
}

const SHORT: [&str; 5] = ["--seeds", "2", "--minutes", "4", "--json"];

#[test]
fn the_same_seeds_give_the_same_output() {
    assert_eq!(run(&SHORT), run(&SHORT));
}

#[test]
fn the_seeds_differ_from_each_other() {
    for row in rows(&SHORT) {
        assert_ne!(row["runs"][0]["offered"], row["runs"][1]["offered"]);
    }
}

#[test]
fn a_switched_off_mechanism_changes_applefold_and_not_naive() {
    let whole = rows(&SHORT);
    let without = rows(&[&SHORT[..], &["--without", "routing"]].concat());
    assert_eq!(whole.len(), without.len());
    for (whole, without) in whole.iter().zip(&without) {
        let naive = whole["label"]["version"] == "naive";
        assert_eq!(whole["runs"] == without["runs"], naive);
    }
}

#[test]
fn all_versions_are_offered_the_same() {
    let rows = rows(&[&SHORT[..], &["--workload", "mtkvari", "--ablate"]].concat());
    assert_eq!(rows.len(), 7);
    for row in &rows {
        let offered = |row: &serde_json::Value, seed: usize| row["runs"][seed]["offered"].clone();
        assert_eq!(offered(row, 0), offered(&rows[0], 0), "{}", row["label"]);
        assert_eq!(offered(row, 1), offered(&rows[0], 1), "{}", row["label"]);
    }
}

#[test]
fn sealed_reports_never_differ_and_bill_every_answer() {
    let rows = rows(&[
        "--workload",
        "foundation",
        "--seeds",
        "2",
        "--minutes",
        "10",
        "--json",
    ]);
    let sum = |version: usize, figure: &str| -> u64 {
        let runs = rows[version]["runs"].as_array().unwrap();
        let figures = runs.iter().map(|run| run["reports"][figure].as_u64());
        figures.map(Option::unwrap).sum()
    };
    let (naive, applefold) = (0, 1);
    assert!(sum(applefold, "reports") > 100);
    assert_eq!(sum(applefold, "differing"), 0);
    assert_eq!(sum(applefold, "miscounted"), 0);
    assert!(sum(naive, "differing") > 0, "no contrast");
    assert!(sum(naive, "miscounted") > 0, "no contrast");
}
