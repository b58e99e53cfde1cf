//! Applies the faults of a script to a message.

use crate::responder::Transport;
use crate::script::FaultyReply;
use crate::zone::parse_name;
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::{A, CNAME, NS};
use hickory_proto::rr::{RData, Record};
use std::net::Ipv4Addr;

/// The TTL of records that a fault adds, in seconds.
const FAULT_TTL: u32 = 30;
/// The bits of a response code that are in the header; the others need EDNS.
const HEADER_CODE_MASK: u16 = 15;

/// Applies a fault to a message. Faults that only affect how a reply is sent leave the message unchanged.
pub(crate) fn apply_fault(message: &mut Message, fault: &FaultyReply, transport: Transport) {
    match fault {
        FaultyReply::Truncate if transport == Transport::Udp => truncate(message),
        FaultyReply::TruncateTcp if transport == Transport::Tcp => truncate(message),
        FaultyReply::OtherQuestion => replace_question(message),
        FaultyReply::WrongId => message.metadata.id = message.metadata.id.wrapping_add(1),
        FaultyReply::Ttl(ttl) => set_ttl(message, *ttl),
        FaultyReply::Empty => remove_records(message),
        FaultyReply::NxDomain => {
            remove_records(message);
            message.metadata.response_code = ResponseCode::NXDomain;
        }
        FaultyReply::ResponseCode(code) => {
            remove_records(message);
            let low_bits = (*code & HEADER_CODE_MASK) as u8;
            message.metadata.response_code = ResponseCode::from(0, low_bits);
        }
        FaultyReply::AliasLoop => add_alias_loop(message),
        FaultyReply::Referral => add_referral(message),
        FaultyReply::UnrelatedAddress => add_unrelated_address(message),
        _ => {}
    }
}

fn remove_records(message: &mut Message) {
    message.answers.clear();
    message.authorities.clear();
    message.additionals.clear();
}

fn truncate(message: &mut Message) {
    message.metadata.truncation = true;
    remove_records(message);
}

fn replace_question(message: &mut Message) {
    let other = parse_name("other.example.test");
    if let (Some(query), Ok(other)) = (message.queries.first_mut(), other) {
        query.set_name(other);
    }
}

fn set_ttl(message: &mut Message, ttl: u32) {
    for record in message.answers.iter_mut().chain(&mut message.additionals) {
        record.ttl = ttl;
    }
}

fn add_alias_loop(message: &mut Message) {
    remove_records(message);
    let own = message.queries.first().map(|query| query.name().clone());
    let (Some(own), Ok(other)) = (own, parse_name("loop.example.test")) else {
        return;
    };
    let to_other = RData::CNAME(CNAME(other.clone()));
    let to_own = RData::CNAME(CNAME(own.clone()));
    message.add_answer(Record::from_rdata(own, FAULT_TTL, to_other));
    message.add_answer(Record::from_rdata(other, FAULT_TTL, to_own));
}

fn add_referral(message: &mut Message) {
    remove_records(message);
    if let Ok(zone) = parse_name("test") {
        let data = RData::NS(NS(zone.clone()));
        message.add_authority(Record::from_rdata(zone, FAULT_TTL, data));
    }
}

fn add_unrelated_address(message: &mut Message) {
    if let Ok(other) = parse_name("victim.example.test") {
        let data = RData::A(A(Ipv4Addr::new(127, 0, 0, 66)));
        message.add_additional(Record::from_rdata(other, FAULT_TTL, data));
    }
}
