use super::*;

#[test]
fn stale_check_blocks_write() {
    let config = Arc::new(ActiveConfig::unleased());
    let check = |age| CheckedConfig { config: config.clone(), checked_at: monotonic_seconds() - age };
    let (fresh, stale) = (check(0.0), check(2.0 * MAX_ACTION_DELAY_SECONDS));
    let write = |checked| FreshWriter { stream: Vec::new(), checked }.write(b"x");
    assert_eq!(write(Some(&fresh)).unwrap(), 1);
    assert_eq!(write(None).unwrap(), 1);
    assert!(write(Some(&stale)).unwrap_err().get_ref().is_some_and(|e| e.is::<StaleCheck>()));
}
