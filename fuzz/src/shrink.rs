//! Minimises failed cases.

use crate::{Finding, Target, run};

/// Number of smaller cases that [`minimise`] tries at most.
const MAX_TRIES: usize = 3_000;

/// Returns copies of `whole` that each lack one part. The size of the part is halved from half of
/// `whole` down to one item, the largest parts first.
pub fn without_parts<T: Clone>(whole: &[T]) -> Vec<Vec<T>> {
    let mut smaller = Vec::new();
    let mut size = whole.len().div_ceil(2);
    while size > 0 {
        for start in (0..whole.len()).step_by(size) {
            let end = whole.len().min(start + size);
            smaller.push([&whole[..start], &whole[end..]].concat());
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    smaller
}

/// Returns the smallest case that was found with the same [`run::summary`] of its finding.
pub fn minimise(target: &mut dyn Target, case: &[u8], finding: &Finding) -> Vec<u8> {
    let wanted = run::summary(finding);
    let mut smallest = case.to_vec();
    let mut tries = 0;
    loop {
        let smaller = target.smaller(&smallest).into_iter().take(MAX_TRIES - tries);
        let mut found = None;
        for case in smaller {
            tries += 1;
            let result = run::check(target, &case).0;
            if result.is_err_and(|finding| run::summary(&finding) == wanted) {
                found = Some(case);
                break;
            }
        }
        match found {
            Some(case) if tries < MAX_TRIES => smallest = case,
            Some(case) => return case,
            None => return smallest,
        }
    }
}
