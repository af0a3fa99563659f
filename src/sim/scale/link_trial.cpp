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
constexpr int framesLostExitCode = 3;
constexpr int maxFramesPerTurn = 20;
constexpr std::size_t maxBytesInFlight = 4u << 20, minFramesInFlight = 8, maxFramesInFlight = 200;
constexpr std::size_t messageHeaderBytes = 64, frameHeaderBytes = 4;

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
    PeerTransport source(sending, "127.0.0.1:1", [](const std::string&, Message) {});
    std::thread receiver([&] { receive(target); });
    std::thread sender([&] { send(source, address); });
    sender.join();
    receiver.join();
    return {{"us per frame sent", static_cast<double>(sendNs) / frames / 1000},
            {"us per frame taken", static_cast<double>(receiveNs) / frames / 1000},
            {"bytes per frame", static_cast<double>(encodeMessage(message).size() + frameHeaderBytes)}};
  }

 private:
  const int frames, inFlightLimit;
  const NewsMsg message;
  asio::io_context sending, receiving;
  std::atomic<int> receivedFrames{0};
  std::atomic<std::int64_t> sendNs{0}, receiveNs{0};

  std::string freeAddress() {
    asio::ip::tcp::acceptor probe(receiving, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  }

  void receive(PeerTransport& target) {
    std::int64_t start = threadCpuNs();
    while (receivedFrames < frames) receiving.run_for(5ms);
    receiveNs = threadCpuNs() - start;
    target.stop();
  }

  void send(PeerTransport& source, const std::string& address) {
    std::int64_t start = threadCpuNs();
    int sentFrames = 0;
    TimePoint deadline = Clock::now() + arrivalTimeout;
    while (receivedFrames < frames && Clock::now() < deadline) {
      for (int turn = 0; turn < maxFramesPerTurn && sentFrames < frames && sentFrames - receivedFrames < inFlightLimit;
           ++turn, ++sentFrames)
        source.send(address, message);
      sending.run_for(1ms);
      sending.restart();
    }
    sendNs = threadCpuNs() - start;
    if (receivedFrames < frames) std::_Exit(framesLostExitCode);
  }
};

}  // namespace

std::vector<Metric> measureLinks(int frames, std::size_t bytes) { return LinkTrial(frames, bytes).run(); }

}  // namespace tt
