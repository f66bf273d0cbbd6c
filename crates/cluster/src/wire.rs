//! What nodes of one fleet say to each other: protobuf, bounded, with the fleet's name and a form in each message.
//!
//! Guarantee: what is read is of this fleet, this form, these members and this life of the reader; anything else is one
//! [`Unfit`], and the reader's state is as before. It does not guarantee that the sender is who it says: that is the link's.

use crate::lease::{Member, Version};
use prost::Message as _;

/// The version of the form; another one is another language.
pub const FORM: u32 = 1;
/// Longest content of a version, in bytes.
pub const MOST_CONTENT: usize = 256 * 1024;
/// Longest message, in bytes: a version and what goes around it.
pub const MOST_MESSAGE: usize = MOST_CONTENT + 64 * 1024;

/// A message, whole.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// [`FORM`].
    #[prost(uint32, tag = "1")]
    pub form: u32,
    /// The fleet's name.
    #[prost(string, tag = "2")]
    pub fleet: String,
    /// Fingerprint of the members and of what else all nodes have to be told alike.
    #[prost(fixed64, tag = "3")]
    pub terms: u64,
    /// The sender's number.
    #[prost(uint32, tag = "4")]
    pub from: u32,
    /// Whose life it is for: what the reader called itself in its [`Hello`]; 0 in a hello.
    #[prost(fixed64, tag = "5")]
    pub life: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub body: Option<Body>,
}

/// What is said.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First on each link, from both sides.
    #[prost(message, tag = "8")]
    Hello(Hello),
    /// A message of the log's library.
    #[prost(bytes = "vec", tag = "9")]
    Log(Vec<u8>),
    /// Whether the sender may act on a version.
    #[prost(message, tag = "10")]
    Ask(Ask),
    /// Yes to the question of this number.
    #[prost(fixed64, tag = "11")]
    Yes(u64),
    /// Whether the reader could act on this content.
    #[prost(message, tag = "12")]
    Check(Check),
    /// What came of that.
    #[prost(message, tag = "13")]
    Checked(Checked),
    /// A proposal, passed on to who leads.
    #[prost(message, tag = "14")]
    Forward(Forward),
    /// What became of it.
    #[prost(message, tag = "15")]
    Answer(Answer),
    /// The reader is in the fleet no more, by this version at the latest.
    #[prost(uint64, tag = "16")]
    Gone(Version),
}

/// The first word.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Names this life of the sender: never the same again.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    /// The program's version, for people.
    #[prost(string, tag = "2")]
    pub program: String,
}

/// A question about a lease.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ask {
    /// Of which version.
    #[prost(uint64, tag = "1")]
    pub version: Version,
    /// Names the question.
    #[prost(fixed64, tag = "2")]
    pub number: u64,
}

/// A content to be checked.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Check {
    /// Names the check.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// The content.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// A starving version is let through.
    #[prost(bool, tag = "3")]
    pub force: bool,
}

/// What came of a check.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Checked {
    /// Which.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// What is wrong; empty if nothing is.
    #[prost(string, tag = "2")]
    pub problem: String,
}

/// A proposal that is passed on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// Names it at its sender.
    #[prost(fixed64, tag = "1")]
    pub ticket: u64,
    /// The content.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// The version that has to be the last one.
    #[prost(uint64, optional, tag = "3")]
    pub expect: Option<Version>,
    /// A starving version is let through.
    #[prost(bool, tag = "4")]
    pub force: bool,
    /// A change of members, in JSON, in the place of a content; empty if there is none.
    #[prost(bytes = "vec", tag = "5")]
    pub change: Vec<u8>,
}

/// What became of a proposal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// Which, as its sender named it.
    #[prost(fixed64, tag = "1")]
    pub ticket: u64,
    /// The number that it got; 0 if it was turned down.
    #[prost(uint64, tag = "2")]
    pub version: Version,
    /// Why it was turned down.
    #[prost(string, tag = "3")]
    pub problem: String,
}

/// An entry of the log: one version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub version: Version,
    /// Its content.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// The members from it on, in JSON; empty if they are those of the version before.
    #[prost(bytes = "vec", tag = "3")]
    pub members: Vec<u8>,
}

/// All that went before the first entry that is kept.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Base {
    /// Place in the log of the last entry that is not kept.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Its term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The last version among them; none if its number is 0.
    #[prost(message, optional, tag = "3")]
    pub last: Option<Entry>,
    /// The members of that version, in JSON; empty if they are those of the script.
    #[prost(bytes = "vec", tag = "4")]
    pub members: Vec<u8>,
}

/// Why a message was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// It is no message.
    Unreadable,
    /// Of another form.
    Form(u32),
    /// Of another fleet.
    Fleet(String),
    /// The sender was told other members, another bound or other lists than this node.
    Terms,
    /// From nobody in the fleet, or from this node itself.
    Stranger(u32),
    /// From a node that was in the fleet, in this life of it.
    Gone(Member, u64),
    /// For an earlier life of this node, or from before it was greeted.
    Stale,
}

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unfit::Unreadable => f.write_str("what it says cannot be read"),
            Unfit::Form(form) => write!(f, "it speaks form {form}, this program {FORM}; run one program on all nodes"),
            Unfit::Fleet(name) => write!(f, "it is of the fleet {name:?}"),
            Unfit::Terms => f.write_str(
                "it was told other members, another contradict_ms or other lists; give all nodes the same fleet(...)",
            ),
            Unfit::Stranger(number) => write!(f, "it says that it is node {number}, which is none of the others"),
            Unfit::Gone(number, _) => write!(f, "it says that it is node {number}, which was removed"),
            Unfit::Stale => f.write_str("it speaks to an earlier life of this node"),
        }
    }
}

/// What a node puts on and asks of each message.
#[derive(Clone, Debug)]
pub struct Stamp {
    /// The fleet's name.
    pub fleet: String,
    /// Fingerprint of what all nodes have to be told alike.
    pub terms: u64,
    /// This node.
    pub me: Member,
    /// This life of it; not 0.
    pub life: u64,
}

impl Stamp {
    /// The message as bytes, for a reader that called its life this.
    pub fn seal(&self, body: Body, life: u64) -> Vec<u8> {
        let from = u32::from(self.me);
        let (fleet, terms) = (self.fleet.clone(), self.terms);
        Envelope { form: FORM, fleet, terms, from, life, body: Some(body) }.encode_to_vec()
    }

    /// The greeting.
    pub fn hello(&self, program: &str) -> Vec<u8> {
        self.seal(Body::Hello(Hello { life: self.life, program: program.to_string() }), 0)
    }

    /// Reads a message; a hello may come from anybody of the fleet, all else only to this life.
    pub fn open(&self, bytes: &[u8]) -> Result<(Member, Body), Unfit> {
        let read = Envelope::decode(bytes).map_err(|_| Unfit::Unreadable)?;
        if read.form != FORM {
            return Err(Unfit::Form(read.form));
        }
        if read.fleet != self.fleet {
            return Err(Unfit::Fleet(read.fleet.chars().take(64).collect()));
        }
        if read.terms != self.terms {
            return Err(Unfit::Terms);
        }
        let from = Member::try_from(read.from).ok();
        let from = from.filter(|m| *m != self.me);
        let from = from.ok_or(Unfit::Stranger(read.from))?;
        let body = read.body.ok_or(Unfit::Unreadable)?;
        let fresh = matches!(body, Body::Hello(_)) || read.life == self.life;
        if fresh { Ok((from, body)) } else { Err(Unfit::Stale) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stamp(fleet: &str, terms: u64, me: Member, life: u64) -> Stamp {
        Stamp { fleet: fleet.into(), terms, me, life }
    }

    #[test]
    fn what_is_not_of_this_fleet_life_or_form_is_told_apart() {
        let here = stamp("zurich", 7, 0, 41);
        let there = stamp("zurich", 7, 1, 9);
        let ask = Body::Ask(Ask { version: 3, number: 5 });
        assert_eq!(here.open(&there.seal(ask.clone(), 41)), Ok((1, ask.clone())));
        assert!(matches!(here.open(&there.hello("x")), Ok((1, Body::Hello(_)))));
        let cases = [
            (there.seal(ask.clone(), 40), Unfit::Stale),
            (stamp("zarqa", 7, 1, 9).seal(ask.clone(), 41), Unfit::Fleet("zarqa".into())),
            (stamp("zurich", 8, 1, 9).seal(ask.clone(), 41), Unfit::Terms),
            (stamp("zurich", 7, 0, 9).seal(ask.clone(), 41), Unfit::Stranger(0)),
            (Envelope { form: 2, ..Envelope::default() }.encode_to_vec(), Unfit::Form(2)),
            (b"\xff\xff\xff".to_vec(), Unfit::Unreadable),
        ];
        for (bytes, unfit) in cases {
            assert_eq!(here.open(&bytes), Err(unfit));
        }
        // Cut anywhere it is unfit, never taken for something else.
        let whole = there.seal(ask, 41);
        for end in 0..whole.len() {
            assert!(here.open(&whole[..end]).is_err(), "cut at {end}");
        }
    }
}
