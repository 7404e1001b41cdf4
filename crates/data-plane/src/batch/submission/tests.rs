use super::stored_id;

#[test]
fn jobs_of_two_tenants_never_have_one_stored_id() {
    let jobs = [("a", "b/c"), ("a/b", "c"), ("a%2Fb", "c"), ("", "a/b/c"), ("b", "b/c"), ("a", "c")];
    for (index, (tenant, id)) in jobs.iter().enumerate() {
        for (other_tenant, other_id) in &jobs[index + 1..] {
            let (stored, other) = (stored_id(tenant, id), stored_id(other_tenant, other_id));
            assert_ne!(stored, other, "{tenant:?} {id:?} and {other_tenant:?} {other_id:?}");
        }
    }
}
