use super::*;

#[test]
fn stale_check_blocks_write() {
    let acting = Arc::new(ActiveConfig::unleased());
    let look = |ago| CheckedConfig { config: acting.clone(), checked_at: monotonic_seconds() - ago };
    let (fresh, old) = (look(0.0), look(2.0 * MAX_ACTION_DELAY_SECONDS));
    let write = |look| FreshWriter { stream: Vec::new(), checked: look }.write(b"x");
    assert_eq!(write(Some(&fresh)).unwrap(), 1);
    assert_eq!(write(None).unwrap(), 1);
    assert!(write(Some(&old)).unwrap_err().get_ref().is_some_and(|e| e.is::<StaleCheck>()));
}
