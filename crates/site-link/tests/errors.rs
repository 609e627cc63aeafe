//! What the other side and the logs are told of a link that ends.

use aldermill_site_link::{LinkError, MalformedFrame, ProtocolViolation};

/// The texts go over the link in the closing frame: a changed text would be news to gateways of other versions.
#[test]
fn the_reason_in_a_closing_frame_stays_as_it_is() {
    let texts = [
        (LinkError::Malformed(MalformedFrame::TooLong), "malformed: frame too long"),
        (LinkError::Malformed(MalformedFrame::Undecodable), "malformed: no frame"),
        (
            LinkError::Malformed(MalformedFrame::IncompleteGreeting),
            "malformed: greeting without a name or a window",
        ),
        (LinkError::Malformed(MalformedFrame::StatementLength), "malformed: statement of impossible length"),
        (LinkError::Malformed(MalformedFrame::RequestTooLarge), "malformed: task with too much to it"),
        (LinkError::Malformed(MalformedFrame::InvalidResponse), "malformed: outcome that is none"),
        (LinkError::Malformed(MalformedFrame::InvalidOutcomeReply), "malformed: fate that is none"),
        (LinkError::Malformed(MalformedFrame::AnnouncementTooLarge), "malformed: room with too much to it"),
        (LinkError::UnknownKind, "frame of an unknown kind"),
        (LinkError::Version(9), "version 9 of the protocol, not 1"),
        (
            LinkError::OutOfPlace(ProtocolViolation::BeforeGreeting),
            "out of place: something before the greeting",
        ),
        (LinkError::OutOfPlace(ProtocolViolation::SecondGreeting), "out of place: a second greeting"),
        (
            LinkError::OutOfPlace(ProtocolViolation::StreamInUse),
            "out of place: a message while another's data is on its way",
        ),
        (LinkError::OutOfPlace(ProtocolViolation::TooManyStreams), "out of place: too many streams"),
        (LinkError::OutOfPlace(ProtocolViolation::ExcessData), "out of place: more data than was announced"),
        (LinkError::OutOfPlace(ProtocolViolation::WindowExceeded), "out of place: data beyond its window"),
        (LinkError::Silent, "silent"),
        (LinkError::Closed("enough".to_owned()), "closed by the other side: enough"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
