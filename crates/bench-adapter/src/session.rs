//! One run of the bench: the messages in their order, and what each leads to.

use std::collections::HashMap;
use std::io::Write;

use aldermill_routing::Micros;

use crate::endpoint_list::EndpointLists;
use crate::error::MessageError;
use crate::fields::Fields;
use crate::reply::Reply;
use crate::router_instance::RouterInstance;

/// The message with one line of an endpoint list.
const ENDPOINT_LINE: &str = "ITEM";

/// One run of the bench: its clock, its routers and the endpoint lists that they are sent.
#[derive(Default)]
pub struct BenchSession {
    /// The bench's clock, in microseconds.
    now: Micros,
    /// The routers, by the bench's numbers.
    routers: HashMap<u32, RouterInstance>,
    lists: EndpointLists,
    reply: Reply,
}

impl BenchSession {
    /// Deals with one message. The end of a batch writes the batch's reply to `out`.
    pub fn accept_line(&mut self, line: &str, out: &mut impl Write) -> Result<(), MessageError> {
        let mut fields = Fields::new(line);
        let message = fields.message_name();
        if self.lists.is_open() {
            if message != ENDPOINT_LINE {
                return Err(MessageError::IncompleteList);
            }
            return self.lists.add_line(&mut fields);
        }
        match message {
            "MARK" => self.now = fields.time("clock")?,
            "GO" => self.reply.finish(out).map_err(MessageError::Output)?,
            "SHEET" => self.lists.begin(&mut fields)?,
            "SPAWN" => self.start_router(&mut fields)?,
            "HALT" => {
                self.routers.remove(&fields.router_number()?);
            }
            "UPDATE" | "ORDER" | "OUTCOME" | "ABANDONED" | "PONG" | "FIRED" => {
                self.pass_to_router(message, &mut fields)?;
            }
            // Streams and messages between routers are not used here; nothing follows from them.
            "STARTED" | "PEER_DATA" => {
                fields.router_number()?;
            }
            other => return Err(MessageError::UnknownMessage(other.to_owned())),
        }
        Ok(())
    }

    fn start_router(&mut self, fields: &mut Fields) -> Result<(), MessageError> {
        let number = fields.router_number()?;
        let seed = fields.integer("initSeed")?;
        let router = RouterInstance::start(number, &fields.rest(), seed, self.now)?;
        self.routers.insert(number, router);
        Ok(())
    }

    /// Passes an event to its router. One for a router that has been stopped is passed over.
    fn pass_to_router(&mut self, message: &str, fields: &mut Fields) -> Result<(), MessageError> {
        let number = fields.router_number()?;
        let Some(router) = self.routers.get_mut(&number) else { return Ok(()) };
        let now = self.now;
        let reply = &mut self.reply;
        match message {
            "UPDATE" => router.list_updated(now, fields, &self.lists, reply),
            "ORDER" => router.request_received(now, fields, reply),
            "OUTCOME" => router.attempt_ended(now, fields, reply),
            "ABANDONED" => router.request_abandoned(now, fields, reply),
            "PONG" => router.health_check_ended(now, fields, reply),
            "FIRED" => router.timer_fired(now, fields, reply),
            other => Err(MessageError::UnknownMessage(other.to_owned())),
        }
    }
}
