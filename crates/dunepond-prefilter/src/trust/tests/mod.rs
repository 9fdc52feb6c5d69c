use super::Trust;

#[test]
fn false_denials_double_confirmations() {
    let mut trust = Trust::default();
    assert!(trust.is_trusted(3));
    for needed in [4, 8, 16] {
        assert!(trust.record_false_denial(3));
        for _ in 0..needed {
            assert!(!trust.is_trusted(3));
            trust.record_confirmation(3);
        }
        assert!(trust.is_trusted(3));
    }
    assert!(trust.is_trusted(4));
}
