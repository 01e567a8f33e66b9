//! The parsers of external text accept the documented formats and reject any other input without a panic.

use proptest::prelude::*;
use radishpaddle_report::source::parse_documents;
use radishpaddle_report::time::{format_duration, format_utc};
use radishpaddle_report::{events, exposition, samples};

/// Guards against wrongly resolved escape sequences and against timestamps that are parsed as values.
#[test]
fn exposition_format_is_read() {
    let text =
        "# HELP a b\n\na{x=\"1\\\"\\\\\\n}\",y = \"é\", } 2.5e3 1700000000000\nb_c +Inf\nc{} NaN\n";

    let samples = exposition::parse(text).unwrap();

    assert_eq!(samples[0].labels["x"], "1\"\\\n}");
    assert_eq!(samples[0].labels["y"], "é");
    assert!((samples[0].value - 2_500.0).abs() < 1e-9);
    assert!(samples[1].value.is_infinite() && samples[2].value.is_nan());
}

/// Guards against malformed lines that are accepted or reported with a wrong line number.
#[test]
fn malformed_lines_are_refused_with_their_number() {
    for line in [
        "a",
        "a{",
        "a{x}",
        "a{x=1} 2",
        "a{x=\"1} 2",
        "a{x=\"1\"y=\"2\"} 3",
        "1a 2",
        "a x",
        "a 1 x",
        "a 1 2 3",
        "a{x=\"1\",x=\"2\"} 3",
        "a{x=\"\\q\"} 1",
        "{x=\"1\"} 2",
    ] {
        let error = exposition::parse(&format!("ok 1\n{line}\n")).unwrap_err();

        assert_eq!(error.line, 2, "{line}");
    }
}

/// Guards against wrong dates around leap days and at the end of the supported range.
#[test]
fn times_are_shown_in_utc() {
    let cases = [
        (0, "1970-01-01 00:00:00"),
        (951_782_400_000, "2000-02-29 00:00:00"),
        (1_709_251_199_999, "2024-02-29 23:59:59"),
        (1_709_251_200_000, "2024-03-01 00:00:00"),
        (4_107_542_400_000, "2100-03-01 00:00:00"),
        (u64::MAX, "9999-12-31 23:59:59"),
    ];
    for (at, expected) in cases {
        assert_eq!(format_utc(at), expected);
    }
    assert_eq!(
        [
            format_duration(59_000),
            format_duration(3_900_000),
            format_duration(97 * 3_600_000)
        ],
        ["59s", "1h 5m", "4d 1h"]
    );
}

/// Guards against a JSON form of the documents that the control instances return and the parser rejects.
#[test]
fn documents_are_read_in_every_form() {
    let entries = include_str!("../../../docs/examples/burn-report/services.json");
    let value: serde_json::Value = serde_json::from_str(entries).unwrap();
    let document = &value["services"][0]["document"];
    let forms = [
        entries.to_owned(),
        document.to_string(),
        format!("[{document}]"),
        format!("{{\"services\":{{\"ledger\":{{\"revision\":4,\"document\":{document}}}}}}}"),
    ];
    for form in forms {
        assert_eq!(parse_documents(&form).unwrap().len(), 1, "{form}");
    }
    let invalid = document
        .to_string()
        .replace("\"latency_ms\":250", "\"latency_ms\":0");
    assert!(parse_documents(&invalid).is_err());
}

proptest! {
    /// Guards against a panic on arbitrary metrics, journal, sample or document text.
    #[test]
    fn any_text_is_handled(text in "\\PC{0,200}") {
        let _ = exposition::parse(&text);
        let _ = events::parse(&text);
        let _ = samples::parse(&text);
        let _ = parse_documents(&text);
    }

    /// Guards against a panic on nearly valid metrics and on the samples computed from them.
    #[test]
    fn any_metrics_are_handled(text in "(radishpaddle_requests_total|radishpaddle_request_seconds_bucket|a)\
        \\{(service|le|code|x)=\"[a-z0-9+.\\\\\"]{0,6}\"(,(service|le|code)=\"[0-9.+Inf-]{0,5}\")?[},]? ?[0-9eE.+-]{0,6}") {
        if let Ok(metrics) = exposition::parse(&text) {
            let sample = samples::from_metrics(1, "a", &metrics);
            let _ = samples::increases(&[sample.clone(), sample]);
        }
    }

    /// Guards against label values that differ from what the exporter escaped.
    #[test]
    fn label_values_are_read_back(value in ".{0,40}") {
        let escaped = value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
        prop_assume!(!value.contains('\r') && !value.contains('\u{b}') && !value.contains('\u{c}'));

        let samples = exposition::parse(&format!("a{{x=\"{escaped}\"}} 1")).unwrap();

        prop_assert_eq!(&samples[0].labels["x"], &value);
    }

    /// Guards against a panic in the report on samples in arbitrary order with arbitrary counters.
    #[test]
    fn any_samples_are_reported(list in proptest::collection::vec(
        (0_u64..5_000_000, "[ab]", proptest::collection::vec((1_000_u16..3_010, 0_u32..1_000), 0..5)),
        0..8,
    )) {
        let documents = parse_documents(
            include_str!("../../../docs/examples/burn-report/services.json"),
        ).unwrap();
        let sample = |(at_unix_ms, instance, codes): (u64, String, Vec<(u16, u32)>)| {
            let key = samples::SeriesKey {
                service: "ledger".into(),
                organisation: "large".into(),
                route: "read".into(),
            };
            let by_code = codes.into_iter().map(|(code, count)| (code, f64::from(count)));
            let counts = samples::Counts { by_code: by_code.collect(), buckets: vec![] };
            samples::Sample { at_unix_ms, instance, series: vec![(key, counts)] }
        };
        let samples: Vec<_> = list.into_iter().map(sample).collect();

        let report = radishpaddle_report::burn::build_report(&samples, &documents, &[]);

        let text = radishpaddle_report::text::render(&report);
        prop_assert!(!text.contains("NaN") && !text.contains("inf"));
        radishpaddle_report::html::render(&report).unwrap();
    }
}
