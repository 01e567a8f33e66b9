//! Compares the committed capacity page with the page computed from the committed slopes.

use radishpaddle_capacity::{Slopes, page};

/// Guards against a page that was edited by hand or not rendered again after a change of the slopes.
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
