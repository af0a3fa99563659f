#pragma once
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "host.hpp"
#include "http.hpp"
#include "json.hpp"

namespace tt {

/// One HTTP request as a handler sees it.
struct WebRequest {
  std::string method, path, body, bearer;
  std::map<std::string, std::string> query;
  HttpHeaders headers;
};
/// An HTTP exchange being answered, in one go or as a stream of lines. Safe to use from any thread.
class WebResponse {
 public:
  virtual ~WebResponse() = default;
  virtual void finish(int status, const std::string& body, int retryAfterMs = 0) = 0;
  /// Sends one line of a stream; whether the other side still seems to be there.
  virtual bool line(const std::string& text) = 0;
  virtual void endStream(const std::string& lastLine) = 0;
  virtual bool streaming() const = 0;
};
using WebHandler = std::function<void(WebRequest, std::shared_ptr<WebResponse>)>;

/// An HTTP/1.1 server on RESTinio.
class WebServer {
 public:
  WebServer(asio::io_context& context, const std::string& address, WebHandler handler);
  ~WebServer();
  Result<void> open();
  void close();
  struct Inner;

 private:
  std::unique_ptr<Inner> inner;
};

/// One HTTP call as libcurl makes it.
struct WebCall {
  std::string method{"GET"}, url, body, bearer;
  Duration connectTimeout{1s}, totalTimeout{0};
  /// A new connection, never sent a second time by the library.
  bool noResend{false};
};
struct WebResult {
  /// A whole HTTP answer came.
  bool reached{false};
  bool requestUnsent{false};
  int status{0};
  int retryAfterMs{0};
  std::string body, trouble;
};
/// Makes HTTP calls through libcurl on one thread.
class WebClient {
 public:
  using OnLine = std::function<void(const std::string& line)>;
  using OnDone = std::function<void(const WebResult& result)>;
  WebClient();
  ~WebClient();
  /// Starts a call. Lines of a 200 answer are handed over as they come if onLine is given, else the body comes whole.
  std::uint64_t start(WebCall call, OnDone onDone, OnLine onLine = {});
  void drop(std::uint64_t callId);

 private:
  struct Inner;
  std::unique_ptr<Inner> inner;
};

/// What the end of a call to a worker says of the order in it, where the worker's own last line has not: unsent only if
/// no byte left, denied only if the whole denial came.
WorkerEnd workerEndOfCall(const std::string& sendId, const WebResult& result);

/// A call made and waited for, for tools.
WebResult callAndWait(WebClient& calls, WebCall call);

/// Exchanges that wait for the logic's answer, by the name the logic knows them under.
class PendingResponses {
 public:
  std::string add(std::shared_ptr<WebResponse> answer);
  /// A fresh name that no other exchange here has had.
  std::string newName();
  void addAs(const std::string& name, std::shared_ptr<WebResponse> answer);
  std::shared_ptr<WebResponse> find(const std::string& name);
  std::shared_ptr<WebResponse> remove(const std::string& name);
  /// Takes out all that still wait.
  std::vector<std::shared_ptr<WebResponse>> removeAll();
  std::size_t count();

 private:
  std::mutex lock;
  std::uint64_t lastNumber{0};
  std::map<std::string, std::shared_ptr<WebResponse>> rows;
};

std::string faultBody(const Error& fault);

}  // namespace tt
