//! Limits that the users set for the source itself.

use std::path::Path;

#[test]
fn the_module_is_short_and_its_lines_too() {
    let all = [
        "src/balance.rs",
        "src/balance/ask.rs",
        "src/balance/cold.rs",
        "src/balance/shared.rs",
        "src/balance/window.rs",
        "src/budget.rs",
    ]
    .map(|name| {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
        let text = std::fs::read_to_string(path).expect("the module's source");
        let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(lines <= 850, "{name}: {lines} lines that are not blank");
        let wide: Vec<&str> = text.lines().filter(|l| l.chars().count() > 110).collect();
        assert!(wide.is_empty(), "{wide:#?}");
        (text, lines)
    });
    assert!(all.iter().map(|(_, lines)| lines).sum::<usize>() <= 1_200);
    assert!(all[0].0.lines().next().is_some_and(|l| l.contains("src/api.rs")), "the top names the interface");
}
