use rstest::rstest;

use super::*;

#[rstest]
#[case::top_level(r#"{"body":"a","body":"b"}"#, "'body'")]
#[case::nested(r#"{"buckets":[{"bucket":1,"part":1,"bucket":2}]}"#, "'bucket'")]
#[case::escaped_differently(r#"{"body":"a","b\u006fdy":"b"}"#, "'body'")]
fn rejects_duplicate_keys(#[case] text: &str, #[case] key: &str) {
    let error = parse_json(text.as_bytes()).unwrap_err();
    assert!(error.contains(key) && error.contains("given twice"), "{error}");
}

#[test]
fn valid_document_parses_as_with_serde_json() {
    let text = r#"{"a":[1,-2,3.5,true,null,"x\n"],"b":{"a":{}},"c":18446744073709551615}"#;
    assert_eq!(parse_json(text.as_bytes()).unwrap(), serde_json::from_str::<Value>(text).unwrap());
    assert!(parse_json(b"{}x").is_err() && parse_json(b"").is_err());
}
