#include "link_trial.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

#include "node_host.hpp"
#include "resource_meters.hpp"

namespace tt {
namespace {

constexpr Duration arrivalTimeout = 60s;
constexpr int receiveRunMs = 5, sendRunMs = 1;
constexpr double nsPerUs = 1e3;
constexpr int framesLostExitCode = 3;
constexpr int maxFramesPerRun = 20;
constexpr std::size_t maxBytesInFlight = 4u << 20, minFramesInFlight = 8, maxFramesInFlight = 200;
constexpr std::size_t messageHeaderBytes = 64, frameHeaderBytes = 4;

/// Sends frames from one thread to another. The bytes in flight are limited, within bounds on the number of frames.
class LinkTrial {
 public:
  LinkTrial(int frameCount, std::size_t frameBytes)
      : frames(frameCount),
        inFlightLimit(static_cast<int>(
            std::clamp(maxBytesInFlight / (frameBytes + messageHeaderBytes), minFramesInFlight, maxFramesInFlight))),
        message{1, {LogEntry{1, 1, 1, std::string(frameBytes, 'x'), "change", 1}}, {}} {}

  std::vector<Metric> run() {
    std::string address = freeAddress();
    PeerTransport target(receiving, address, [this](const std::string&, Message) { ++receivedFrames; });
    if (auto listening = target.listen(); !listening) return {};
    /// The sender never listens on its address.
    PeerTransport source(sending, "127.0.0.1:1", [](const std::string&, Message) {});
    std::thread receiver([&] { receive(target); });
    std::thread sender([&] { send(source, address); });
    sender.join();
    receiver.join();
    return {{"us per frame sent", static_cast<double>(sendNs) / frames / nsPerUs},
            {"us per frame taken", static_cast<double>(receiveNs) / frames / nsPerUs},
            {"bytes per frame", static_cast<double>(encodeMessage(message).size() + frameHeaderBytes)}};
  }

 private:
  const int frames, inFlightLimit;
  const NewsMsg message;
  asio::io_context sending, receiving;
  std::atomic<int> receivedFrames{0};
  std::atomic<std::int64_t> sendNs{0}, receiveNs{0};

  /// Returns a loopback address with a port that is free at the moment.
  std::string freeAddress() {
    asio::ip::tcp::acceptor probe(receiving, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  }

  void receive(PeerTransport& target) {
    std::int64_t start = threadCpuNs();
    while (receivedFrames < frames) receiving.run_for(std::chrono::milliseconds(receiveRunMs));
    receiveNs = threadCpuNs() - start;
    target.stop();
  }

  void send(PeerTransport& source, const std::string& address) {
    std::int64_t start = threadCpuNs();
    int sentFrames = 0;
    TimePoint deadline = Clock::now() + arrivalTimeout;
    while (receivedFrames < frames && Clock::now() < deadline) {
      for (int frame = 0; frame < maxFramesPerRun && sentFrames < frames && sentFrames - receivedFrames < inFlightLimit;
           ++frame, ++sentFrames)
        source.send(address, message);
      sending.run_for(std::chrono::milliseconds(sendRunMs));
      sending.restart();
    }
    sendNs = threadCpuNs() - start;
    if (receivedFrames < frames) std::_Exit(framesLostExitCode);
  }
};

}  // namespace

std::vector<Metric> measureLinks(int frames, std::size_t bytes) { return LinkTrial(frames, bytes).run(); }

}  // namespace tt
