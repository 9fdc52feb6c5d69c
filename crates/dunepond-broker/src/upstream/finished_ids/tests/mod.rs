use super::*;

/// A broker passed its memory limit by the ids of ended attempts alone: 200 characters each, on hundreds of connections.
#[test]
fn memory_of_finished_ids_does_not_depend_on_their_length() {
    let mut finished = FinishedIds::default();
    let id = |number: usize| format!("{number:0>200}");
    (0..3 * MAX_FINISHED_IDS).for_each(|number| finished.add(&id(number)));
    assert!(finished.allocated_bytes() <= 16 * MAX_FINISHED_IDS);
    let remembered = (0..3 * MAX_FINISHED_IDS).filter(|number| finished.contains(&id(*number)));
    assert!(remembered.eq(2 * MAX_FINISHED_IDS..3 * MAX_FINISHED_IDS));
}
