//! A data directory remains the original over restarts and renames; a copy of its files is detected.

use super::is_copy;

#[test]
fn copy_is_detected_and_rename_is_not() {
    let directory = tempfile::tempdir().unwrap();
    let (own, copy) = (directory.path().join("own"), directory.path().join("copy"));
    std::fs::create_dir(&own).unwrap();
    std::fs::create_dir(&copy).unwrap();
    assert!(!is_copy(&own, true).unwrap());
    assert!(!is_copy(&own, false).unwrap());
    std::fs::copy(own.join("origin"), copy.join("origin")).unwrap();
    assert!(is_copy(&copy, false).unwrap());
    // A restored file counts as a copy; a renamed directory does not.
    std::fs::remove_file(own.join("origin")).unwrap();
    std::fs::copy(copy.join("origin"), own.join("origin")).unwrap();
    assert!(is_copy(&own, false).unwrap());
    assert!(!is_copy(&copy, true).unwrap());
    std::fs::rename(&copy, directory.path().join("moved")).unwrap();
    assert!(!is_copy(&directory.path().join("moved"), false).unwrap());
}
