//! Alignment of tables.

use console::Table;

#[test]
fn columns_are_aligned() {
    let mut table = Table::new(&["NAME", "SLOTS"]);
    table.push(["cut-1".to_owned(), "8".to_owned()]);
    table.push(["a-longer-name".to_owned()]);
    insta::assert_snapshot!(table.to_string(), @r"
    NAME           SLOTS
    cut-1          8
    a-longer-name
    ");
}
