//! Builtins as tables of fields: names, types, ranges and the hints that come of them.

use starlark::collections::SmallMap;
use starlark::values::Value;
use starlark::values::list::ListRef;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a field may be.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// One of these words.
    Word(&'static [&'static str]),
    /// Text that is not empty.
    Text,
    /// An address and a port.
    Address,
    /// A whole number from the first to the second.
    Int(u64, u64),
    /// A list of texts, so many at most.
    Texts(usize),
}

/// One field of a builtin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
}

/// A call that a script can make.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Builtin {
    pub(crate) name: &'static str,
    pub(crate) fields: &'static [Field],
}

/// The fields of a call, checked.
#[derive(Debug, Default)]
pub(crate) struct Values {
    name: &'static str,
    texts: BTreeMap<&'static str, String>,
    ints: BTreeMap<&'static str, u64>,
    lists: BTreeMap<&'static str, Vec<String>>,
}

impl Values {
    /// A text or word, if it was given.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.texts.get(name).map(String::as_str)
    }

    /// A text or word that cannot be left out.
    pub(crate) fn must(&self, name: &str) -> anyhow::Result<&str> {
        self.text(name)
            .ok_or_else(|| anyhow::anyhow!("{}: `{name}` is missing; add {name} = \"...\"", self.name))
    }

    /// A number, if it was given.
    pub(crate) fn int(&self, name: &str) -> Option<u64> {
        self.ints.get(name).copied()
    }

    /// A list that cannot be left out.
    pub(crate) fn list(&self, name: &str) -> anyhow::Result<&[String]> {
        let list = self.lists.get(name).map(Vec::as_slice);
        list.ok_or_else(|| anyhow::anyhow!("{}: `{name}` is missing; add {name} = [\"...\"]", self.name))
    }

    /// Whether a field was given.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.texts.contains_key(name) || self.ints.contains_key(name) || self.lists.contains_key(name)
    }
}

/// The name that may have been meant, or all there are.
pub(crate) fn hint(name: &str, names: impl Iterator<Item = &'static str> + Clone) -> String {
    let near = names.clone().map(|n| (strsim::damerau_levenshtein(n, name), n)).min();
    match near {
        Some((distance, near)) if distance <= 2.max(near.len() / 3) => format!("did you mean `{near}`?"),
        _ => format!("there are {}", names.collect::<Vec<_>>().join(", ")),
    }
}

impl Builtin {
    /// Checks the fields of a call.
    pub(crate) fn check(&self, given: &SmallMap<String, Value>) -> anyhow::Result<Values> {
        let mut values = Values { name: self.name, ..Values::default() };
        for (name, value) in given {
            let Some(field) = self.fields.iter().find(|f| f.name == name) else {
                let hint = hint(name, self.fields.iter().map(|f| f.name));
                anyhow::bail!("{}: `{name}` is no field of it; {hint}", self.name);
            };
            let wrong = |what: &str, hint: String| anyhow::anyhow!("{}: `{name}` {what}; {hint}", self.name);
            let text = value.unpack_str();
            let of = value.get_type();
            match field.kind {
                Kind::Int(least, most) => {
                    let hint = format!("a whole number from {least} to {most}");
                    let n = i64::from(
                        value.unpack_i32().ok_or_else(|| wrong(&format!("is a {of}"), hint.clone()))?,
                    );
                    let n = u64::try_from(n).ok().filter(|n| (least..=most).contains(n));
                    values.ints.insert(field.name, n.ok_or_else(|| wrong("is out of range", hint))?);
                }
                Kind::Word(words) => {
                    let hint = format!("one of {}", words.map_words());
                    let text = text.ok_or_else(|| wrong(&format!("is a {of}"), hint.clone()))?;
                    if !words.contains(&text) {
                        return Err(wrong(&format!("is \"{text}\""), hint));
                    }
                    values.texts.insert(field.name, text.to_string());
                }
                Kind::Texts(most) => {
                    let hint = format!("a list of texts, {most} at most");
                    let items = ListRef::from_value(*value)
                        .ok_or_else(|| wrong(&format!("is a {of}"), hint.clone()))?;
                    let texts: Option<Vec<String>> = items
                        .iter()
                        .map(|v| v.unpack_str().filter(|t| !t.is_empty()).map(String::from))
                        .collect();
                    let texts =
                        texts.filter(|t| t.len() <= most).ok_or_else(|| wrong("is not that", hint))?;
                    values.lists.insert(field.name, texts);
                }
                Kind::Text | Kind::Address => {
                    let address = matches!(field.kind, Kind::Address);
                    let hint =
                        if address { "an address and a port, as in \"10.0.0.7:5432\"" } else { "text" };
                    let text = text.ok_or_else(|| wrong(&format!("is a {of}"), hint.to_string()))?;
                    let sound = !text.is_empty() && !text.contains('\0');
                    if !sound || address && text.parse::<SocketAddr>().is_err() {
                        return Err(wrong(&format!("is \"{}\"", text.escape_default()), hint.to_string()));
                    }
                    values.texts.insert(field.name, text.to_string());
                }
            }
        }
        Ok(values)
    }
}

trait Words {
    fn map_words(&self) -> String;
}

impl Words for [&str] {
    fn map_words(&self) -> String {
        self.iter().map(|w| format!("\"{w}\"")).collect::<Vec<_>>().join(", ")
    }
}
