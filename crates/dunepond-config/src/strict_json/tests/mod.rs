use rstest::rstest;

use super::*;

#[rstest]
#[case::outside(r#"{"body":"a","body":"b"}"#, "'body'")]
#[case::inside(r#"{"buckets":[{"bucket":1,"part":1,"bucket":2}]}"#, "'bucket'")]
#[case::written_otherwise(r#"{"body":"a","b\u006fdy":"b"}"#, "'body'")]
fn rejects_duplicate_keys(#[case] text: &str, #[case] key: &str) {
    let why = parse_json(text.as_bytes()).unwrap_err();
    assert!(why.contains(key) && why.contains("given twice"), "{why}");
}

#[test]
fn matches_serde_json_otherwise() {
    let text = r#"{"a":[1,-2,3.5,true,null,"x\n"],"b":{"a":{}},"c":18446744073709551615}"#;
    assert_eq!(parse_json(text.as_bytes()).unwrap(), serde_json::from_str::<Value>(text).unwrap());
    assert!(parse_json(b"{}x").is_err() && parse_json(b"").is_err());
}
