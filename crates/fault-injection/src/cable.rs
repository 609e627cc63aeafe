//! Lines between two parties that delay, hold back, cut and lose what goes over them.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

pub const THERE: usize = 0;
pub const BACK: usize = 1;

/// What is done to all that goes over a line, changed while it runs.
pub struct Line {
    pub delay: Cell<Duration>,
    pub jitter: Cell<Duration>,
    /// Nothing goes this way for now; it goes on later, all at once.
    held: [Cell<bool>; 2],
    /// What goes this way vanishes; of a stream, for ever: its connection stays mute.
    pub lost: [Cell<bool>; 2],
    /// New connections find nobody.
    pub refuses: Cell<bool>,
    cut_after: [Cell<Option<usize>>; 2],
    /// Datagrams: the share that is lost, doubled, or comes behind later ones.
    pub loss: Cell<f64>,
    pub doubled: Cell<f64>,
    pub reordered: Cell<f64>,
    changed: Notify,
    /// Counts the orders to cut, and to close the far ends only.
    cuts: Cell<u64>,
    far_cuts: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
}

impl Line {
    pub fn new(seed: u64) -> Rc<Line> {
        Rc::new(Line {
            delay: Cell::default(),
            jitter: Cell::default(),
            held: Default::default(),
            lost: Default::default(),
            refuses: Cell::default(),
            cut_after: Default::default(),
            loss: Cell::default(),
            doubled: Cell::default(),
            reordered: Cell::default(),
            changed: Notify::new(),
            cuts: Cell::default(),
            far_cuts: Cell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        })
    }

    pub fn hold(&self, way: usize, held: bool) {
        self.held[way].set(held);
        self.changed.notify_waiters();
    }

    pub fn cut_after(&self, way: usize, bytes: usize) {
        self.cut_after[way].set(Some(bytes));
    }

    /// Ends all connections that stand.
    pub fn cut(&self) {
        self.cuts.set(self.cuts.get() + 1);
        self.changed.notify_waiters();
    }

    /// Ends the far sides of all connections that stand; the near ones hear nothing more.
    pub fn half_open(&self) {
        self.far_cuts.set(self.far_cuts.get() + 1);
        self.changed.notify_waiters();
    }

    fn due(&self) -> Instant {
        let jitter = self.jitter.get();
        let more =
            if jitter.is_zero() { jitter } else { jitter.mul_f64(self.rng.borrow_mut().random::<f64>()) };
        Instant::now() + self.delay.get() + more
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().random::<f64>() < share
    }

    async fn free(&self, way: usize) {
        while self.held[way].get() {
            self.changed.notified().await;
        }
    }

    async fn cut_off(&self, since: (u64, u64)) -> bool {
        loop {
            let changed = self.changed.notified();
            if self.cuts.get() != since.0 || self.far_cuts.get() != since.1 {
                return self.cuts.get() != since.0;
            }
            changed.await;
        }
    }

    /// A stream line to that party; its near end is the address given back.
    pub async fn stream(self: &Rc<Line>, target: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let line = self.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                if line.refuses.get() {
                    reset(&near);
                    continue;
                }
                spawn_local(line.clone().join(near, target));
            }
        });
        Ok(address)
    }

    async fn join(self: Rc<Line>, mut near: TcpStream, target: SocketAddr) {
        let since = (self.cuts.get(), self.far_cuts.get());
        if self.lost[THERE].get() || self.lost[BACK].get() {
            // It never comes up.
            self.cut_off(since).await;
            return reset(&near);
        }
        let Ok(mut far) = TcpStream::connect(target).await else { return reset(&near) };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let whole = {
            let (near_in, near_out) = near.split();
            let (far_in, far_out) = far.split();
            let carried = async {
                tokio::try_join!(self.carry(near_in, far_out, THERE), self.carry(far_in, near_out, BACK))
            };
            tokio::select! {
                Ok(_) = carried => return,
                whole = self.cut_off(since) => whole,
                else => true,
            }
        };
        reset(&far);
        if !whole {
            // The near end is kept, and hears nothing more.
            drop(far);
            std::future::pending::<()>().await;
        }
        reset(&near);
    }

    /// Carries one way until its sender has ended; what is read is due after the delay. An error is a broken connection.
    async fn carry(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        way: usize,
    ) -> std::io::Result<()> {
        let (queue, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(256);
        let reading = async move {
            loop {
                let mut piece = Vec::with_capacity(16 * 1024);
                if from.read_buf(&mut piece).await? == 0 || queue.send((self.due(), piece)).await.is_err() {
                    return Ok(());
                }
            }
        };
        let writing = async move {
            let mut mute = false;
            while let Some((at, mut piece)) = due.recv().await {
                if at > Instant::now() {
                    sleep_until(at).await;
                }
                self.free(way).await;
                mute |= self.lost[way].get();
                if mute {
                    continue;
                }
                if let Some(left) = self.cut_after[way].get() {
                    let cut = left < piece.len();
                    self.cut_after[way].set((!cut).then(|| left - piece.len()));
                    if cut {
                        piece.truncate(left);
                        let _ = to.write_all(&piece).await;
                        self.cut();
                        return Err(ErrorKind::ConnectionAborted.into());
                    }
                }
                to.write_all(&piece).await?;
            }
            if mute {
                // Whoever closed, the other side is not told.
                std::future::pending::<()>().await;
            }
            to.shutdown().await
        };
        tokio::try_join!(reading, writing).map(|_| ())
    }

    /// A datagram line to that party: datagrams to the address given back reach it as if from one address.
    pub async fn datagrams(self: &Rc<Line>, target: SocketAddr) -> std::io::Result<SocketAddr> {
        self.datagrams_on(THERE, target).await
    }

    /// The same, where going to that party is the given way of the line.
    pub async fn datagrams_on(
        self: &Rc<Line>,
        way: usize,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let near = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let far = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = near.local_addr()?;
        let back_to = Rc::new(Cell::new(None::<SocketAddr>));
        let (line, back) = (self.clone(), back_to.clone());
        let (ours, theirs) = (near.clone(), far.clone());
        spawn_local(async move {
            let mut bytes = [0; 65_536];
            while let Ok((count, from)) = ours.recv_from(&mut bytes).await {
                back.set(Some(from));
                line.pass(way, bytes[..count].to_vec(), theirs.clone(), target);
            }
        });
        let line = self.clone();
        spawn_local(async move {
            let mut bytes = [0; 65_536];
            while let Ok((count, _)) = far.recv_from(&mut bytes).await {
                if let Some(to) = back_to.get() {
                    line.pass(1 - way, bytes[..count].to_vec(), near.clone(), to);
                }
            }
        });
        Ok(address)
    }

    fn pass(self: &Rc<Line>, way: usize, bytes: Vec<u8>, over: Rc<UdpSocket>, to: SocketAddr) {
        if self.lost[way].get() || self.chance(self.loss.get()) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.doubled.get()));
        for _ in 0..copies {
            let late = self.chance(self.reordered.get());
            let (line, bytes, over, due) = (self.clone(), bytes.clone(), over.clone(), self.due());
            spawn_local(async move {
                sleep_until(due).await;
                if late {
                    sleep(Duration::from_millis(5)).await;
                }
                line.free(way).await;
                let _ = over.send_to(&bytes, to).await;
            });
        }
    }
}

pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
