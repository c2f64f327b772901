use std::fmt::Write;

/// The lines that differ: `-` before those of `old` alone, `+` before those of `new` alone; empty
/// where both are equal.
///
/// ```
/// assert_eq!(pomelogate::tool::diff("a\nb\n", "a\nc\n"), "-b\n+c\n");
/// ```
pub fn diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let common = common(&old, &new);
    let (mut left, mut right) = (0, 0);
    let mut text = String::new();
    while left < old.len() || right < new.len() {
        if left < old.len() && right < new.len() && old[left] == new[right] {
            left += 1;
            right += 1;
        } else if right == new.len()
            || (left < old.len() && common[left + 1][right] >= common[left][right + 1])
        {
            let _ = writeln!(text, "-{}", old[left]);
            left += 1;
        } else {
            let _ = writeln!(text, "+{}", new[right]);
            right += 1;
        }
    }
    text
}

/// The lengths of the longest common subsequences of all pairs of tails.
fn common(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut lengths = vec![vec![0; new.len() + 1]; old.len() + 1];
    for left in (0..old.len()).rev() {
        for right in (0..new.len()).rev() {
            lengths[left][right] = if old[left] == new[right] {
                lengths[left + 1][right + 1] + 1
            } else {
                lengths[left + 1][right].max(lengths[left][right + 1])
            };
        }
    }
    lengths
}
