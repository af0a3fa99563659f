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

struct Address {
  std::string ip;
  unsigned short port{0};
};
/// Reads "ip:port"; names are not looked up.
Result<Address> parseAddress(const std::string& text);

/// Frames between own processes over TCP. Sending never waits: what a link cannot take is dropped, as on a bad network,
/// and the logic above repeats itself where it must.
class PeerTransport {
 public:
  using Taken = std::function<void(const std::string& from, Message message)>;
  /// Others know this process by its own address; it may listen at another, where something stands in between.
  PeerTransport(asio::io_context& context, std::string ownAddress, Taken taken, std::string listenAt = {});
  Result<void> listen();
  void send(const std::string& to, const Message& message);
  void stop();
  std::atomic<std::uint64_t> bytesOut{0}, framesOut{0};

 private:
  struct Link;
  struct Inbound;
  asio::io_context& io;
  std::string self, listenAddress;
  Taken onTaken;
  asio::ip::tcp::acceptor acceptor;
  std::mutex linksLock;
  std::map<std::string, std::shared_ptr<Link>> links;
  void accept();
};

/// Runs one piece of logic in a real process: a lock around it, a tick, and hands that carry out what it asks for.
/// Lock order: logic, then journal views, then hub links, then open exchanges. Nothing is called back under a later
/// lock.
class NodeHost {
 public:
  using Carry = std::function<void(const std::string& to, Message&& message)>;
  NodeHost(Node& hostedNode, asio::io_context& context, Duration tickEvery);
  ~NodeHost();
  /// Carries out what the logic sends; set before start.
  Carry sendMessage;
  /// Writes records and tells the logic when they are synced; set before start by processes with a disk.
  Ring* ring{nullptr};
  void start();
  void stop();
  void handle(const std::string& from, const Message& message);
  /// Does something with the logic under its lock.
  void with(const std::function<void(Effects&)>& action);
  /// How long the oldest unsynced write has waited.
  Duration diskWait() const;
  std::function<void(Duration)> reportSyncWait;
  /// Called if the ring fails for good.
  std::function<void(const Error&)> onDiskFailure;

 private:
  Node& node;
  asio::steady_timer timer;
  Duration every;
  std::recursive_mutex lock;
  std::mt19937_64 randomSource;
  std::thread diskThread;
  mutable std::mutex diskLock;
  std::condition_variable diskWake;
  std::vector<Effects::Save> saves;
  TimePoint oldestSave{};
  bool stopping{false};
  void tick();
  void finish(Effects& effects);
  void runDisk();
};

}  // namespace tt
