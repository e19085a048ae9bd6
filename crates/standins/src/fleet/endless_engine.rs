//! Stand-in of engines that can turn faulty and then send bytes without end, which are no answer. They run on a thread
//! of their own, so that they delay nothing else in a test.
//!
//! Owns: the thread and the faulty answers. Relies on: [`FleetEngine`] for sound answers.

mod answer_begin;
mod forms;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use curlewcleat_platform::names::WIRE_PROFILE;
use tokio::sync::oneshot;

pub use self::answer_begin::AnswerBegin;
pub use self::forms::{EndlessForm, EndlessPart, SendPace};
use super::FleetEngine;
use crate::http::{
    handle_by_route, AfterAnswer, HandlerFuture, PlainConnection, PlainHandler, PlainRequest,
};
use crate::served::ServedHandler;

/// Time after a request in which nothing is sent, so that many requests wait together.
const HEAD_DELAY: Duration = Duration::from_millis(300);
/// Bytes of one faulty answer, after which its connection is left silent.
const ANSWER_BYTES: u64 = 256 << 20;
/// Bytes of all faulty answers.
const TOTAL_BYTES: u64 = 4 << 30;
/// Time after which a faulty answer ends by a reset.
const ANSWER_TIME: Duration = Duration::from_secs(8);
/// Bytes that are sent at once at a slow pace.
const SLOW_SIZE: usize = 1 << 10;
/// Time between two sends at a slow pace.
const SLOW_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two bytes that trickle.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// What a test sets and observes of its engines.
#[derive(Default)]
pub struct EndlessSwitch {
    form: Mutex<Option<EndlessForm>>,
    runs: Mutex<BTreeSet<String>>,
    sent: AtomicU64,
    open: AtomicUsize,
}

impl EndlessSwitch {
    /// Makes the answers that begin from now on faulty in this form, or sound.
    pub fn set_form(&self, form: Option<EndlessForm>) {
        *lock(&self.form) = form;
    }

    /// Returns the attempts whose requests ran with a faulty answer.
    pub fn runs(&self) -> BTreeSet<String> {
        lock(&self.runs).clone()
    }

    /// Returns the bytes of all faulty answers.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of faulty answers whose connections the reader has not closed.
    pub fn open_answers(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

// A test that panicked fails by itself.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running engines on a thread of their own.
pub struct EndlessEngines {
    /// Sets the form of their answers.
    pub switch: Arc<EndlessSwitch>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<Result<()>>,
}

impl EndlessEngines {
    /// Starts engines with these ids and addresses, and waits until they accept connections.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(engines: Vec<(String, String)>) -> Result<EndlessEngines> {
        let switch = Arc::<EndlessSwitch>::default();
        let (stop, stopped) = oneshot::channel();
        let (ready, started) = oneshot::channel();
        let shared = Arc::clone(&switch);
        let thread = std::thread::spawn(move || {
            let system = actix_rt::System::new();
            system.block_on(serve_until(engines, shared, ready, stopped))
        });
        started.await.context("stand-in: faulty engines do not start")?;
        Ok(EndlessEngines { switch, stop, thread })
    }

    /// Stops the engines.
    ///
    /// # Errors
    /// Fails if an engine could not serve.
    pub fn close(self) -> Result<()> {
        // A thread that has ended reports its error below.
        let _ = self.stop.send(());
        self.thread.join().map_err(|_| anyhow::anyhow!("stand-in: faulty engines panicked"))?
    }
}

async fn serve_until(
    engines: Vec<(String, String)>,
    switch: Arc<EndlessSwitch>,
    ready: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
) -> Result<()> {
    let mut served = Vec::new();
    for (id, address) in engines {
        let sound = FleetEngine::new(&id, 3, Duration::from_millis(10));
        let engine = Rc::new(EndlessEngine { sound, switch: Arc::clone(&switch) });
        served.push(ServedHandler::start(&address, engine).await?);
    }
    // Nobody waits any more, or nobody stops them: both end the thread.
    let _ = ready.send(());
    let _ = stopped.await;
    for handler in served {
        handler.close().await;
    }
    Ok(())
}

/// An engine.
struct EndlessEngine {
    sound: Rc<FleetEngine>,
    switch: Arc<EndlessSwitch>,
}

impl EndlessEngine {
    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let form = lock(&self.switch.form).clone();
        let instance = request.header(WIRE_PROFILE.instance);
        let is_here = instance.is_empty() || instance == self.sound.id;
        match form {
            Some(form) if is_here && request.method == "POST" => {
                self.answer_without_end(&form, &request, connection).await
            }
            _ => self.sound_answer(request, connection).await,
        }
    }

    fn sound_answer<'a>(
        &'a self,
        request: PlainRequest,
        connection: &'a mut PlainConnection,
    ) -> HandlerFuture<'a> {
        self.sound.handle(request, connection)
    }

    async fn answer_without_end(
        &self,
        form: &EndlessForm,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let attempt = request.header(WIRE_PROFILE.attempt_id);
        lock(&self.switch.runs).insert(attempt.to_string());
        let _open = OpenAnswer::new(&self.switch);
        let is_stream = request.path.contains("/stream/");
        let begin = AnswerBegin { attempt, engine: &self.sound.id, is_stream };
        let answer = async {
            tokio::time::sleep(HEAD_DELAY).await;
            self.send(form, &begin, connection).await?;
            connection.closed().await;
            anyhow::Ok(())
        };
        if let Ok(ended) = tokio::time::timeout(ANSWER_TIME, answer).await {
            ended?;
        }
        // An orderly end would make an answer without a length whole.
        connection.reset_on_close()?;
        Ok(AfterAnswer::Close)
    }

    async fn send(
        &self,
        form: &EndlessForm,
        begin: &AnswerBegin<'_>,
        connection: &mut PlainConnection,
    ) -> Result<()> {
        let (mut sent, started) = (0, Instant::now());
        let first = form.begin(begin);
        match form.pace {
            SendPace::Trickle => connection.write_raw(&first).await?,
            pace => self.send_paced(pace, &first, connection).await?,
        }
        for number in 0.. {
            let block = form.block(number);
            self.send_paced(form.pace, &block, connection).await?;
            sent += block.len() as u64;
            let total = self.switch.sent_bytes();
            if sent >= ANSWER_BYTES || total >= TOTAL_BYTES || started.elapsed() >= ANSWER_TIME {
                break;
            }
            // Other answers on this thread go on as well where the reader is never awaited.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    async fn send_paced(
        &self,
        pace: SendPace,
        bytes: &[u8],
        connection: &mut PlainConnection,
    ) -> Result<()> {
        let size = match pace {
            SendPace::Fast => bytes.len().max(1),
            SendPace::Slow => SLOW_SIZE,
            SendPace::SingleBytes | SendPace::Trickle => 1,
        };
        for piece in bytes.chunks(size) {
            connection.write_raw(piece).await?;
            self.switch.sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
            match pace {
                SendPace::Fast => {}
                SendPace::Slow => tokio::time::sleep(SLOW_INTERVAL).await,
                SendPace::SingleBytes => tokio::task::yield_now().await,
                SendPace::Trickle => tokio::time::sleep(TRICKLE_INTERVAL).await,
            }
        }
        Ok(())
    }
}

handle_by_route!(EndlessEngine);

/// Counts a faulty answer until its end.
struct OpenAnswer<'a>(&'a EndlessSwitch);

impl OpenAnswer<'_> {
    fn new(switch: &EndlessSwitch) -> OpenAnswer<'_> {
        switch.open.fetch_add(1, Ordering::Relaxed);
        OpenAnswer(switch)
    }
}

impl Drop for OpenAnswer<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
