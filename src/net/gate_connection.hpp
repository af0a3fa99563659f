#pragma once
#include "answer_framing.hpp"
#include "gate_listener.hpp"
#include "request_reader.hpp"

namespace tt {

/// One client's connection: reads a request, hands it over, writes its answer, and then reads the next. All on the
/// gate's one thread.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Inner> owner, asio::ip::tcp::socket taken)
      : gate(std::move(owner)), socket(std::move(taken)) {}

  void start();
  /// The gate is leaving: a connection without a request is closed soon.
  void leave();
  TimePoint due() const { return deadline; }
  void onDeadline();
  void close();

  void head(int status, const HttpHeaders& headers, std::optional<std::size_t> length);
  void bytes(std::string_view bytes);
  void end();
  void abort();
  /// Lets go of a caller that does not take its answer: what waits for it is dropped and it is told nothing more.
  void abandon();
  std::size_t unwritten() const { return pending.size() + flying.size() - flown + framing.tailBytes(); }
  bool hasStarted() const { return framing.isStarted(); }
  bool hasEnded() const { return ended; }
  std::optional<ExchangeStatus> exchangeUnderWay() const;

  Answer* answer{nullptr};
  std::function<void()> gone;

 private:
  /// Leading to a close: refusing and cutting write what is queued; draining reads until the caller closes too.
  enum class Phase { idle, head, body, exchange, refusing, cutting, draining, closed };

  std::shared_ptr<Inner> gate;
  asio::ip::tcp::socket socket;
  Phase phase{Phase::idle};
  TimePoint deadline{never};

  std::unique_ptr<char[]> readSpace;
  std::size_t readRoom{0};
  bool reading{false}, watching{false}, sawEnd{false};
  RequestReader reader;

  AnswerFraming framing;
  bool exchanging{false}, ended{false}, keeps{false};
  TimePoint connectedAt{}, takenAt{};
  std::size_t requestCount{0};
  /// How long the answer under way promises to keep the connection, and until when an earlier one did.
  Duration promised{0};
  TimePoint keptUntil{};

  std::string pending, flying;
  std::size_t flown{0};
  bool flushPosted{false};

  void setDeadline(TimePoint moment);
  TimePoint restsUntil() const;
  void resetOnClose(bool resets);

  void read();
  void watch();
  void onRead(asio::error_code error, std::size_t size);
  void onReadEnd(asio::error_code error);
  void onFailure();
  void parse();
  /// Whether a step of reading leaves more to do at once.
  bool parseHead();
  bool parseBody();
  void refuse(int status);

  void beginExchange();
  void finishExchange();
  void detach(bool callerLeft);
  void callerLeft();
  KeepAlive promiseKeepAlive();

  void enqueue(std::string_view bytes);
  void postFlush();
  void flush();
  void onWritten(asio::error_code error, std::size_t size);
  void onFlushed();
  void drain();
};

/// The handler's end of an exchange; outlives the connection if the handler keeps it.
class HttpServer::Answer : public ResponseWriter {
 public:
  Answer(std::shared_ptr<Connection> on, asio::io_context& context) : connection(std::move(on)), io(context) {}
  ~Answer() override;
  void head(int status, const HttpHeaders& headers, std::optional<std::size_t> length) override;
  void bytes(std::string_view bytes) override;
  void end() override;
  void abort() override;
  void onDisconnect(std::function<void()> gone) override;
  std::size_t unwritten() const override { return connection ? connection->unwritten() : 0; }
  bool started() const override { return connection ? connection->hasStarted() : wasStarted; }

  /// The exchange is over; calls do nothing from now on.
  void detach(bool left);

 private:
  std::shared_ptr<Connection> connection;
  asio::io_context& io;
  bool callerLeft{false}, wasStarted{false};
};

}  // namespace tt
