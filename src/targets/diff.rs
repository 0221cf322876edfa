//! What differs between two targets, for `diff` and the audit trail.

use std::{cmp::Ordering, fmt};

use serde::{Deserialize, Serialize};

use crate::targets::model::Targets;

/// How an item differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Only the new targets have it.
    Added,
    /// Only the old targets have it.
    Removed,
    /// Both have it, with other values.
    Changed,
}

/// One item that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// How it differs.
    pub edit: Edit,
    /// "class", "service", "route" or "account".
    pub kind: Box<str>,
    /// Its name or prefix.
    pub name: Box<str>,
    /// The values before and after, as far as they exist.
    pub values: Box<str>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.edit {
            Edit::Added => '+',
            Edit::Removed => '-',
            Edit::Changed => '~',
        };
        write!(f, "{sign} {} {}: {}", self.kind, self.name, self.values)
    }
}

/// Everything that differs from `old` to `new`.
pub fn differences(old: &Targets, new: &Targets) -> Vec<Difference> {
    let mut list = Vec::new();
    compare(&mut list, "class", &old.classes, &new.classes, |it| it.name.clone());
    compare(&mut list, "service", &old.services, &new.services, |it| it.name.clone());
    compare(&mut list, "route", &old.routes, &new.routes, |it| it.prefix.clone());
    compare(&mut list, "account", &old.accounts, &new.accounts, |it| it.name.clone());
    list
}

fn compare<T: PartialEq + fmt::Debug>(
    list: &mut Vec<Difference>,
    kind: &str,
    old: &[T],
    new: &[T],
    name: fn(&T) -> Box<str>,
) {
    let mut old: Vec<_> = old.iter().map(|it| (name(it), it)).collect();
    let mut new: Vec<_> = new.iter().map(|it| (name(it), it)).collect();
    old.sort_by(|a, b| a.0.cmp(&b.0));
    new.sort_by(|a, b| a.0.cmp(&b.0));
    let (mut i, mut j) = (0, 0);
    while i < old.len() || j < new.len() {
        let order = match (old.get(i), new.get(j)) {
            (Some(a), Some(b)) => a.0.cmp(&b.0),
            (Some(_), None) => Ordering::Less,
            (None, _) => Ordering::Greater,
        };
        let (edit, name, values) = match order {
            Ordering::Less => (Edit::Removed, &old[i].0, describe(old[i].1)),
            Ordering::Greater => (Edit::Added, &new[j].0, describe(new[j].1)),
            Ordering::Equal => {
                let values = format!("{} -> {}", describe(old[i].1), describe(new[j].1));
                (Edit::Changed, &old[i].0, values)
            }
        };
        let same = order == Ordering::Equal && old[i].1 == new[j].1;
        if !same {
            list.push(Difference { edit, kind: kind.into(), name: name.clone(), values: values.into() });
        }
        i += usize::from(order != Ordering::Greater);
        j += usize::from(order != Ordering::Less);
    }
}

fn describe<T: fmt::Debug>(item: &T) -> String {
    const LIMIT: usize = 160;
    let text = format!("{item:?}");
    match text.char_indices().nth(LIMIT) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
