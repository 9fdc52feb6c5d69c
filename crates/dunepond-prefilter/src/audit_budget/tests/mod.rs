use super::AuditBudget;

#[test]
fn audits_stay_within_ratio() {
    let mut budget = AuditBudget::new(0.02, 4.0);
    let mut audits = 0;
    for _ in 0..1000 {
        budget.deposit(10);
        audits += usize::from(budget.try_take()) + usize::from(budget.try_take());
    }
    assert!((190..=200).contains(&audits), "{audits}");
    // However many segments were pruned since the last audit, the budget holds at most its maximum of 4 audits.
    budget.deposit(1_000_000);
    assert_eq!((0..100).filter(|_| budget.try_take()).count(), 4);
}
