#include "link_trial.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

#include "node_host.hpp"
#include "resource_meters.hpp"

namespace tt {
namespace {

constexpr Duration arriveWithin = 60s;
constexpr int lostFramesCode = 3;
constexpr int framesPerTurn = 20;
constexpr std::size_t bytesUnderWay = 4u << 20, fewestUnderWay = 8, mostUnderWay = 200;
constexpr std::size_t messageHeadBytes = 64, frameHeadBytes = 4;

class LinkTrial {
 public:
  LinkTrial(int frameCount, std::size_t frameBytes)
      : frames(frameCount),
        underWay(static_cast<int>(
            std::clamp(bytesUnderWay / (frameBytes + messageHeadBytes), fewestUnderWay, mostUnderWay))),
        message{1, {LogEntry{1, 1, 1, std::string(frameBytes, 'x'), "change", 1}}, {}} {}

  std::vector<Figure> run() {
    std::string address = freeAddress();
    PeerTransport target(receiving, address, [this](const std::string&, Message) { ++taken; });
    if (auto listening = target.listen(); !listening) return {};
    PeerTransport source(sending, "127.0.0.1:1", [](const std::string&, Message) {});
    std::thread receiver([&] { receive(target); });
    std::thread sender([&] { send(source, address); });
    sender.join();
    receiver.join();
    return {{"us per frame sent", static_cast<double>(sendNs) / frames / 1000},
            {"us per frame taken", static_cast<double>(takeNs) / frames / 1000},
            {"bytes per frame", static_cast<double>(encodeMessage(message).size() + frameHeadBytes)}};
  }

 private:
  const int frames, underWay;
  const NewsMsg message;
  asio::io_context sending, receiving;
  std::atomic<int> taken{0};
  std::atomic<std::int64_t> sendNs{0}, takeNs{0};

  std::string freeAddress() {
    asio::ip::tcp::acceptor probe(receiving, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  }

  void receive(PeerTransport& target) {
    std::int64_t start = threadCpuNs();
    while (taken < frames) receiving.run_for(5ms);
    takeNs = threadCpuNs() - start;
    target.stop();
  }

  void send(PeerTransport& source, const std::string& address) {
    std::int64_t start = threadCpuNs();
    int sent = 0;
    TimePoint by = Clock::now() + arriveWithin;
    while (taken < frames && Clock::now() < by) {
      for (int turn = 0; turn < framesPerTurn && sent < frames && sent - taken < underWay; ++turn, ++sent)
        source.send(address, message);
      sending.run_for(1ms);
      sending.restart();
    }
    sendNs = threadCpuNs() - start;
    if (taken < frames) std::_Exit(lostFramesCode);
  }
};

}  // namespace

std::vector<Figure> measureLinks(int frames, std::size_t bytes) { return LinkTrial(frames, bytes).run(); }

}  // namespace tt
