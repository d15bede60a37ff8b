//! The documented table of result codes matches the code.

use std::collections::BTreeSet;

use applefold_core::code::ResultCode;

const TABLE: &str = include_str!("../../../docs/RESULT-CODES.md");

fn row_of(code: ResultCode) -> String {
    format!(
        "| {} | {} | {} | {} | {} |",
        code.number(),
        code.name(),
        code.status(),
        code.run_state().as_str(),
        code.meaning()
    )
}

#[test]
fn table_has_a_row_for_every_code_and_no_other() {
    let documented: BTreeSet<&str> = TABLE
        .lines()
        .filter(|line| line.starts_with("| ") && !line.contains("---"))
        .collect();
    let rows: Vec<String> = ResultCode::ALL.iter().map(|code| row_of(*code)).collect();
    for row in &rows {
        assert!(
            documented.contains(row.as_str()),
            "missing in docs/RESULT-CODES.md: {row}"
        );
    }
    assert_eq!(
        documented.len(),
        rows.len() + 1,
        "the table has a row without a code"
    );
}

#[test]
fn numbers_are_unique_and_parse_back() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(code.number().to_string().parse(), Ok(*code));
    }
}
