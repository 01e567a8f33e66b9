//! The capacity page belongs to the committed slopes.

use radishpaddle_capacity::{Slopes, page};

/// Guards against a page whose figures no command repeats.
#[test]
fn page_is_computed_from_the_slopes() {
    let directory = page::docs_directory();
    let text = std::fs::read_to_string(directory.join("capacity-slopes.json")).unwrap();
    let slopes: Slopes = serde_json::from_str(&text).unwrap();

    let rendered = page::render(&slopes);

    let committed = std::fs::read_to_string(directory.join("CAPACITY.md")).unwrap();
    assert!(
        committed == rendered,
        "run: cargo run --release -p radishpaddle-capacity -- render"
    );
}
