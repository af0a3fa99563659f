#pragma once
#ifndef ASIO_STANDALONE
#define ASIO_STANDALONE
#endif
#include <asio.hpp>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "effects.hpp"
#include "ring.hpp"

namespace tt {

/// An IP address in text form and a port.
struct Address {
  std::string ip;
  unsigned short port{0};
};
/// Parses "ip:port". Host names are not resolved. Fails with badProps.
Result<Address> parseAddress(const std::string& text);

/// Sends messages between the fleet's own processes as length-prefixed frames over TCP. Sending never blocks: messages
/// that a link cannot take are dropped, as on a lossy network, and the nodes repeat what must arrive.
class PeerTransport {
 public:
  using MessageHandler = std::function<void(const std::string& from, Message message)>;
  /// Peers know this process by ownAddress. It may listen on another address, to which connections are forwarded.
  PeerTransport(asio::io_context& context, std::string ownAddress, MessageHandler handler, std::string listenOn = {});
  /// Binds the address and accepts connections of peers.
  Result<void> listen();
  /// Queues a message for a peer and connects to it if needed. Thread-safe.
  void send(const std::string& to, const Message& message);
  /// Stops accepting connections.
  void stop();
  /// Bytes and frames sent so far.
  std::atomic<std::uint64_t> bytesOut{0}, framesOut{0};

 private:
  struct Link;
  struct Inbound;
  asio::io_context& io;
  std::string self, listenAddress;
  MessageHandler onMessage;
  asio::ip::tcp::acceptor acceptor;
  std::mutex linksLock;
  std::map<std::string, std::shared_ptr<Link>> links;
  void accept();
};

/// Runs one Node in a process: serializes access to it by a lock, calls its tick periodically, and carries out the
/// effects of its handlers (messages to send, records to persist).
/// Lock order: node, journal views, PeerTransport links, open exchanges. No callback is made while one of the later
/// locks is held.
class NodeHost {
 public:
  using MessageSender = std::function<void(const std::string& to, Message&& message)>;
  /// The node's tick is called once per interval.
  NodeHost(Node& hostedNode, asio::io_context& context, Duration interval);
  ~NodeHost();
  /// Sends a message of the node. Set before start().
  MessageSender sendMessage;
  /// Where records are persisted; the node is informed once they are synced. Set before start() by processes with a
  /// disk, else null.
  Ring* ring{nullptr};
  void start();
  void stop();
  /// Passes a message from a peer to the node.
  void handle(const std::string& from, const Message& message);
  /// Runs an action on the node under its lock and carries out the effects.
  void with(const std::function<void(Effects&)>& action);
  /// How long the oldest record that is not yet synced has been waiting.
  Duration unsyncedDuration() const;
  /// Called before each tick with unsyncedDuration().
  std::function<void(Duration)> reportSyncWait;
  /// Called on the disk thread if the ring cannot be written; the thread then ends.
  std::function<void(const Error&)> onDiskFailure;

 private:
  Node& node;
  asio::steady_timer timer;
  Duration tickInterval;
  std::recursive_mutex lock;
  std::mt19937_64 randomSource;
  std::thread diskThread;
  mutable std::mutex diskLock;
  std::condition_variable diskCondition;
  /// Records waiting for the disk thread.
  std::vector<Effects::Save> saves;
  TimePoint oldestSaveAt{};
  bool stopping{false};
  void tick();
  void applyEffects(Effects& effects);
  void runDiskThread();
};

}  // namespace tt
