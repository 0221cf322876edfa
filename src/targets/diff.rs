//! Compares two configurations, for the `diff` command and the audit trail.

use std::{cmp::Ordering, fmt};

use serde::{Deserialize, Serialize};

use crate::targets::model::Targets;

/// The kind of a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// The item is only in the new configuration.
    Added,
    /// The item is only in the old configuration.
    Removed,
    /// The item is in both, with different values.
    Changed,
}

/// An item that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Whether the item was added, removed or changed.
    pub edit: Edit,
    /// The kind of item: "class", "service", "route" or "account".
    pub kind: Box<str>,
    /// The item's name, or the prefix of a route.
    pub name: Box<str>,
    /// The old value, the new one or both, each cut to 160 characters.
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

/// Lists the differences from `old` to `new`, by kind and name.
pub fn differences(old: &Targets, new: &Targets) -> Vec<Difference> {
    let mut list = Vec::new();
    push_differences(&mut list, "class", &old.classes, &new.classes, |it| it.name.clone());
    push_differences(&mut list, "service", &old.services, &new.services, |it| it.name.clone());
    push_differences(&mut list, "route", &old.routes, &new.routes, |it| it.prefix.clone());
    push_differences(&mut list, "account", &old.accounts, &new.accounts, |it| it.name.clone());
    list
}

fn push_differences<T: PartialEq + fmt::Debug>(
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
            Ordering::Less => (Edit::Removed, &old[i].0, truncated_debug(old[i].1)),
            Ordering::Greater => (Edit::Added, &new[j].0, truncated_debug(new[j].1)),
            Ordering::Equal => {
                let values = format!("{} -> {}", truncated_debug(old[i].1), truncated_debug(new[j].1));
                (Edit::Changed, &old[i].0, values)
            }
        };
        let unchanged = order == Ordering::Equal && old[i].1 == new[j].1;
        if !unchanged {
            list.push(Difference { edit, kind: kind.into(), name: name.clone(), values: values.into() });
        }
        i += usize::from(order != Ordering::Greater);
        j += usize::from(order != Ordering::Less);
    }
}

fn truncated_debug<T: fmt::Debug>(item: &T) -> String {
    const MAX_CHARS: usize = 160;
    let text = format!("{item:?}");
    match text.char_indices().nth(MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
