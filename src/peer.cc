// Exchanges messages between entry hosts over Cap'n Proto RPC, on a dedicated
// thread.
#include "spokesail/peer.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <capnp/ez-rpc.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <map>
#include <stdexcept>
#include <thread>

#include "peer-codec.h"

namespace spokesail {
namespace {

/// Maximum unanswered calls to one peer; further calls are dropped.
constexpr int max_outstanding_calls = 4;

/// A call without an answer after this time closes its connection.
constexpr auto call_timeout = 2 * kj::SECONDS;

/// Bytes that the RPC layer adds to each message: call or return header,
/// capability table and release of the answer. Estimated from the message
/// layout.
constexpr size_t envelope_bytes = 112;

template <typename T>
using reply_map = std::map<uint64_t, kj::Own<kj::PromiseFulfiller<T>>>;

/// Received calls that the reducer has not answered yet, by token.
struct pending_replies {
  uint64_t last_token = 0;
  reply_map<heartbeat_ack> heartbeats;
  reply_map<std::vector<object>> pulls;
};

class peer_server final : public rpc::Peer::Server {
 public:
  peer_server(const event_sink& events, const byte_counter& bytes,
              pending_replies& waiting)
      : sink(events), count(bytes), replies(waiting) {}

  kj::Promise<void> beat(BeatContext context) override {
    this->received(context.getParams().totalSize().wordCount);
    auto paf = kj::newPromiseAndFulfiller<heartbeat_ack>();
    const uint64_t token = ++this->replies.last_token;
    this->replies.heartbeats[token] = kj::mv(paf.fulfiller);
    this->sink(
        heartbeat_event{token, read_heartbeat(context.getParams().getBeat())});
    context.releaseParams();
    return paf.promise.then([this, context](const heartbeat_ack& ack) mutable {
      write_ack(context.getResults().initAck(), ack);
      this->sent(context.getResults().asReader().totalSize().wordCount);
    });
  }

  kj::Promise<void> push(PushContext context) override {
    this->received(context.getParams().totalSize().wordCount);
    this->sink(
        peer_objects_event{read_objects(context.getParams().getObjects())});
    this->sent(0);
    return kj::READY_NOW;
  }

  kj::Promise<void> pull(PullContext context) override {
    this->received(context.getParams().totalSize().wordCount);
    auto paf = kj::newPromiseAndFulfiller<std::vector<object>>();
    const uint64_t token = ++this->replies.last_token;
    this->replies.pulls[token] = kj::mv(paf.fulfiller);
    this->sink(pull_event{token, read_stamps(context.getParams().getKnown())});
    context.releaseParams();
    return paf.promise.then(
        [this, context](const std::vector<object>& objects) mutable {
          const auto size = static_cast<unsigned>(objects.size());
          write_objects(context.getResults().initObjects(size), objects);
          this->sent(context.getResults().asReader().totalSize().wordCount);
        });
  }

 private:
  void received(uint64_t words) {
    this->count("received", words * sizeof(capnp::word) + envelope_bytes);
  }
  void sent(uint64_t words) {
    this->count("sent", words * sizeof(capnp::word) + envelope_bytes);
  }

  const event_sink& sink;
  const byte_counter& count;
  pending_replies& replies;
};

/// An RPC client and the capability of the peer that it is connected to.
struct dialled_peer {
  explicit dialled_peer(const std::string& address)
      : client(address.c_str()), main(client.getMain<rpc::Peer>()) {}
  capnp::EzRpcClient client;
  rpc::Peer::Client main;
};

/// The connection to one peer, opened on first use and again after a failure.
///
/// The peer's capability is fetched once per connection. Fetching it after the
/// peer has closed the connection terminates the process (Cap'n Proto 0.9,
/// "already shut down"), while calls on a capability that was fetched before
/// are only rejected.
struct peer_connection {
  kj::Own<dialled_peer> peer;
  uint64_t generation = 0;
  int outstanding = 0;
};

class rpc_link final : public rpc_peer_link {
 public:
  rpc_link(std::string own_address, event_sink events, byte_counter bytes)
      : address(std::move(own_address)),
        sink(std::move(events)),
        count(std::move(bytes)) {
    this->thread = std::thread([this] { this->run(); });
    this->listening.WaitForNotification();
    if (this->failure.empty()) return;
    this->thread.join();
    throw std::runtime_error(this->failure);
  }

  ~rpc_link() noexcept override {
    this->post([this] { this->stopped = true; });
    this->thread.join();
  }

  void send_heartbeat(const std::string& to, const heartbeat& b) override {
    this->post([this, to, b] { this->call_heartbeat(to, b); });
  }

  void push(const std::string& to,
            const std::vector<object>& objects) override {
    this->post([this, to, objects] { this->call_push(to, objects); });
  }

  void pull(const std::string& to,
            const std::vector<object_stamp>& known) override {
    this->post([this, to, known] { this->call_pull(to, known); });
  }

  void reply_heartbeat(uint64_t token, const heartbeat_ack& ack) override {
    this->post(
        [this, token, ack] { fulfil(this->replies.heartbeats, token, ack); });
  }

  void reply_pull(uint64_t token, const std::vector<object>& objects) override {
    this->post([this, token, objects] {
      fulfil(this->replies.pulls, token, objects);
    });
  }

 private:
  template <typename T>
  static void fulfil(reply_map<T>& waiting, uint64_t token, T value) {
    const auto it = waiting.find(token);
    if (it == waiting.end()) return;
    it->second->fulfill(kj::mv(value));
    waiting.erase(it);
  }

  void post(std::function<void()> job) {
    absl::MutexLock lock(&this->mutex);
    this->jobs.push_back(std::move(job));
    if (this->waker.get() != nullptr) {
      this->waker->fulfill();
      this->waker = nullptr;
    }
  }

  void run() {
    try {
      capnp::EzRpcServer server(
          kj::heap<peer_server>(this->sink, this->count, this->replies),
          this->address.c_str());
      auto& scope = server.getWaitScope();
      server.getPort().wait(scope);
      this->timer = &server.getIoProvider().getTimer();
      this->listening.Notify();
      while (!this->stopped) this->run_jobs(scope);
      for (auto& [to, connection] : this->connections) {
        this->retired.push_back(kj::mv(connection.peer));
      }
      this->drop_retired();
    } catch (const kj::Exception& e) {
      this->failure = e.getDescription().cStr();
      if (!this->listening.HasBeenNotified()) this->listening.Notify();
    }
  }

  void run_jobs(kj::WaitScope& scope) {
    auto paf = kj::newPromiseAndCrossThreadFulfiller<void>();
    std::vector<std::function<void()>> ready;
    {
      absl::MutexLock lock(&this->mutex);
      ready.swap(this->jobs);
      if (ready.empty()) this->waker = kj::mv(paf.fulfiller);
    }
    for (const auto& job : ready) job();
    if (ready.empty()) paf.promise.wait(scope);
  }

  /// Returns the connection to a peer and counts a call on it; null if too many
  /// calls are unanswered.
  peer_connection* connect(const std::string& to) {
    auto& connection = this->connections[to];
    if (connection.outstanding >= max_outstanding_calls) return nullptr;
    if (connection.peer.get() == nullptr) {
      connection.peer = kj::heap<dialled_peer>(to);
    }
    connection.outstanding++;
    return &connection;
  }

  /// Tracks a call to its end; a failed call closes its connection.
  template <typename Promise>
  void follow(const std::string& to, uint64_t generation, Promise promise) {
    this->timer->timeoutAfter(call_timeout, kj::mv(promise))
        .then([this, to] { this->connections[to].outstanding--; })
        .detach([this, to, generation](kj::Exception&&) {
          auto& connection = this->connections[to];
          connection.outstanding--;
          if (connection.generation != generation) return;
          connection.generation++;
          this->retired.push_back(kj::mv(connection.peer));
          this->post([this] { this->drop_retired(); });
        });
  }

  /// Destroys closed connections, outside of their own callbacks.
  void drop_retired() {
    while (!this->retired.empty()) {
      auto peer = kj::mv(this->retired.back());
      this->retired.pop_back();
      kj::runCatchingExceptions([&peer] { peer = nullptr; });
    }
  }

  void sent(uint64_t words) {
    this->count("sent", words * sizeof(capnp::word) + envelope_bytes);
  }
  void received(uint64_t words) {
    this->count("received", words * sizeof(capnp::word) + envelope_bytes);
  }

  void call_heartbeat(const std::string& to, const heartbeat& b) {
    peer_connection* connection = this->connect(to);
    if (!connection) return;
    auto request = connection->peer->main.beatRequest();
    write_heartbeat(request.initBeat(), b);
    this->sent(request.asReader().totalSize().wordCount);
    this->follow(
        to, connection->generation,
        request.send().then([this, sent = b.sent](auto&& response) {
          this->received(response.totalSize().wordCount);
          this->sink(heartbeat_ack_event{read_ack(response.getAck()), sent});
        }));
  }

  void call_push(const std::string& to, const std::vector<object>& objects) {
    peer_connection* connection = this->connect(to);
    if (!connection) return;
    auto request = connection->peer->main.pushRequest();
    const auto size = static_cast<unsigned>(objects.size());
    write_objects(request.initObjects(size), objects);
    this->sent(request.asReader().totalSize().wordCount);
    this->follow(to, connection->generation,
                 request.send().then([this](auto&&) { this->received(0); }));
  }

  void call_pull(const std::string& to,
                 const std::vector<object_stamp>& known) {
    peer_connection* connection = this->connect(to);
    if (!connection) return;
    auto request = connection->peer->main.pullRequest();
    const auto size = static_cast<unsigned>(known.size());
    write_stamps(request.initKnown(size), known);
    this->sent(request.asReader().totalSize().wordCount);
    this->follow(
        to, connection->generation,
        request.send().then([this](auto&& response) {
          this->received(response.totalSize().wordCount);
          this->sink(peer_objects_event{read_objects(response.getObjects())});
        }));
  }

  std::string address;
  event_sink sink;
  byte_counter count;
  absl::Notification listening;
  std::string failure;
  absl::Mutex mutex;
  std::vector<std::function<void()>> jobs;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker;

  // Used on the link's thread only.
  bool stopped = false;
  pending_replies replies;
  std::map<std::string, peer_connection> connections;
  std::vector<kj::Own<dialled_peer>> retired;
  kj::Timer* timer = nullptr;
  std::thread thread;
};

}  // namespace

std::unique_ptr<rpc_peer_link> make_rpc_link(const std::string& address,
                                             event_sink sink,
                                             byte_counter count) {
  return std::make_unique<rpc_link>(address, std::move(sink), std::move(count));
}

}  // namespace spokesail
