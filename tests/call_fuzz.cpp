#include "proxy_bench.hpp"

using namespace tt;
using namespace raw;

namespace {

/// Draws that are the same on every machine for a seed.
class Dice {
 public:
  explicit Dice(std::uint32_t seed) : source(seed) {}
  std::size_t pick(std::size_t count) { return source() % count; }
  bool oneIn(std::size_t count) { return pick(count) == 0; }

 private:
  std::mt19937 source;
};

std::string inChunks(const std::string& body, Dice& dice) {
  std::string text;
  for (std::size_t at = 0; at < body.size();) {
    std::size_t size = std::min(body.size() - at, 1 + dice.pick(9));
    char head[16];
    std::snprintf(head, sizeof head, dice.oneIn(3) ? "%zX;x=1\r\n" : "%zx\r\n", size);
    text += head + body.substr(at, size) + "\r\n";
    at += size;
  }
  return text + (dice.oneIn(4) ? "0\r\nX-Trailer: 1\r\n\r\n" : "0\r\n\r\n");
}

/// A sound answer, and its body.
std::pair<std::string, std::string> soundAnswer(const std::string& headers, const std::string& body, Dice& dice) {
  std::string text;
  if (dice.oneIn(4)) text += "HTTP/1.1 100 Continue\r\n\r\n";
  if (dice.oneIn(6)) text += "HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 77\r\n\r\n";
  text += "HTTP/1.1 200 OK\r\n" + headers;
  if (dice.oneIn(5)) text += "X-Folded: one\r\n two\r\n";
  if (dice.oneIn(2))
    text += "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body, dice);
  else
    text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return {text, body};
}
std::string mangled(std::string text, Dice& dice) {
  const std::string signs = "\r\n\r\n::  0129afxHTP/\x00\xff;,";
  for (std::size_t left = 1 + dice.pick(4); left && !text.empty(); --left) {
    std::size_t place = dice.pick(text.size());
    switch (dice.pick(5)) {
      case 0:
        text[place] = static_cast<char>(dice.pick(256));
        break;
      case 1:
        text[place] = signs[dice.pick(signs.size())];
        break;
      case 2:
        text.erase(place, 1 + dice.pick(12));
        break;
      case 3:
        text.insert(place, text.substr(dice.pick(text.size()), dice.pick(40)));
        break;
      default:
        text.resize(place);
    }
  }
  return text;
}
void sayInPieces(const RawServer::Held& held, const std::string& text, Dice& dice) {
  for (std::size_t at = 0; at < text.size();) {
    std::size_t size = 1 + dice.pick(text.size() - at);
    held->say(text.substr(at, size));
    at += size;
  }
}

}  // namespace

/// The last line feed after the last chunk may be missing: the library takes the rest of it for the end.
Test(call_fuzz, an_answer_is_whole_if_and_only_if_all_of_it_was_said) {
  constexpr int cases = 600;
  Dice dice(20261202);
  int whole = 0, cut = 0;
  for (int number = 0; number < cases; ++number) {
    Bench bench;
    std::string body(dice.pick(60), static_cast<char>('a' + number % 26));
    auto [text, expected] = soundAnswer("X-Case: " + std::to_string(number) + "\r\n", body, dice);
    std::size_t said = dice.oneIn(4) ? text.size() : dice.pick(text.size());
    bool byReset = dice.oneIn(4) && said < text.size();
    RawServer server(bench.io, [&](const RawServer::Held& held, const std::string&) {
      sayInPieces(held, text.substr(0, said), dice);
      byReset ? held->reset() : held->close();
    });
    auto call = bench.call(server, "/", "POST", "body");
    call.once = true;
    auto seen = bench.finish(call);
    bool chunked = text.find("chunked") != std::string::npos;
    if (chunked && said + 1 == text.size()) said += seen->end.outcome == HttpCallOutcome::whole;
    bool full = said == text.size();
    cr_expect_eq(seen->end.outcome == HttpCallOutcome::whole, full, "case %d: %zu of %zu bytes: %s", number, said,
                 text.size(), text.substr(0, said).c_str());
    cr_expect_leq(seen->heads, 1);
    cr_expect_eq(seen->ends, 1);
    if (full) cr_expect_eq(seen->body, expected, "case %d", number);
    if (!full) cr_expect_eq(expected.rfind(seen->body, 0), 0u, "case %d: not a beginning of the body", number);
    cr_expect_eq(server.copies("POST / "), 1u);
    ++(full ? whole : cut);
  }
  cr_assert_eq(whole + cut, cases);
  cr_assert_geq(whole, cases / 5);
  cr_assert_geq(cut, cases / 2);
}

Test(call_fuzz, mangled_answers_spoil_no_other_call) {
  constexpr int cases = 1000;
  Dice dice(7);
  int spoilt = 0;
  for (int number = 0; number < cases; ++number) {
    Bench bench;
    auto [sound, expected] = soundAnswer("X-Attempt-Id: first\r\n", std::string(dice.pick(40), 'x'), dice);
    std::string text = mangled(sound, dice);
    bool stays = dice.oneIn(2);
    RawServer server(bench.io, [&](const RawServer::Held& held, const std::string& request) {
      if (request.find("/first") == std::string::npos) return held->say(okay("own", "X-Attempt-Id: second\r\n"));
      sayInPieces(held, text, dice);
      if (!stays) held->close();
    });
    auto call = bench.call(server, "/first", "POST", "body");
    call.once = true;
    call.totalTimeout = 8ms;
    auto first = bench.finish(call);
    cr_expect_leq(first->heads, 1);
    cr_expect_eq(first->ends, 1);
    if (first->heads == 0) cr_expect_eq(first->body, "", "case %d: bytes without a head", number);
    if (first->end.outcome == HttpCallOutcome::whole) {
      cr_expect_eq(first->heads, 1, "case %d", number);
      cr_expect(first->head.status >= 200 && first->head.status <= 599, "case %d", number);
      const auto* length = first->head.find("Content-Length");
      if (length && first->head.status != 204 && first->head.status != 304)
        cr_expect_eq(std::to_string(first->body.size()), std::to_string(std::stoul(*length)), "case %d", number);
    } else {
      ++spoilt;
    }
    auto second = bench.finish(bench.call(server, "/second", "POST", "body"));
    cr_expect(second->end.outcome == HttpCallOutcome::whole, "case %d: %s after %s", number,
              second->end.trouble.c_str(), text.c_str());
    cr_expect_eq(second->body, "own", "case %d after %s", number, text.c_str());
    cr_expect_eq(server.copies("/first"), 1u);
  }
  cr_assert_geq(spoilt, cases / 4);
}

Test(call_fuzz, callers_get_their_own_answers_whatever_workers_send) {
  constexpr int fleets = 60, asks = 5;
  Dice dice(16);
  int answered = 0, served = 0;
  for (int fleet = 0; fleet < fleets; ++fleet) {
    ProxyBench bench(8, 20ms);
    std::map<std::string, int> arrivals;
    std::map<std::string, bool> ran;
    std::vector<std::string> earlier{"a-0"};
    auto answerTo = [&](const std::string& id) {
      return soundAnswer("X-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + id + "\r\n", "body of " + id, dice).first;
    };
    auto refusalOf = [&](const std::string& id, bool says) {
      return "HTTP/1.1 503 Full\r\nX-Attempt-Id: " + id + "\r\n" + (says ? "X-Not-Executed: 1\r\n" : "") +
             "Content-Length: 0\r\n\r\n";
    };
    bench.script = [&](const RawServer::Held& held, const std::string& request) {
      std::string id = headerIn(request, "X-Attempt-Id");
      std::string other = earlier[dice.pick(earlier.size())];
      earlier.push_back(id);
      ++arrivals[id];
      std::string text = answerTo(id);
      bool ends = dice.oneIn(3), runs = true;
      switch (dice.pick(18)) {
        case 0:
          text.resize(dice.pick(text.size()));
          ends = true;
          break;
        case 1:
          text += answerTo(other);
          break;
        case 2:
          text = answerTo(other) + text;
          break;
        case 3:
          text += answerTo(id);
          break;
        case 4:
          text = refusalOf(id, true);
          runs = false;
          break;
        case 5:
          text = refusalOf(id, false);
          break;
        case 6:
          text = refusalOf(other == id ? "none" : other, true) + text;
          break;
        case 7:
          text = soundAnswer("X-Server-Seal: seal-" + id + "\r\n", "body of none", dice).first;
          break;
        case 8:
          text = soundAnswer("X-Attempt-Id: " + id + "\r\n", "body without a seal", dice).first;
          break;
        case 9:
          text = "garbage " + text;
          ends = true;
          break;
        default:
          break;
      }
      ran[id] = ran[id] || runs;
      sayInPieces(held, text, dice);
      if (ends) dice.oneIn(2) && text.empty() ? held->reset() : held->close();
    };
    for (int ask = 1; ask <= asks; ++ask) {
      bool once = dice.oneIn(2);
      std::string id = "a-" + std::to_string(ask);
      auto got = bench.ask(once ? "/once/x" : "/safe/x");
      ++answered;
      if (got.whole && got.status >= 200 && got.status < 300) {
        ++served;
        cr_expect_eq(got.header("X-Server-Seal"), "seal-" + id, "fleet %d: %s", fleet, got.text.c_str());
        cr_expect_eq(got.header("X-Attempt-Id"), id, "fleet %d: %s", fleet, got.text.c_str());
        cr_expect_eq(got.body, "body of " + id, "fleet %d: %s", fleet, got.text.c_str());
      } else if (got.status >= 300) {
        cr_expect_eq(got.header("X-Server-Seal"), "", "fleet %d: %s", fleet, got.text.c_str());
        if (once && (got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421))
          cr_expect_not(ran[id], "fleet %d: %s was promised not to run: %s", fleet, id.c_str(), got.text.c_str());
      }
      if (once && ran[id]) cr_expect_leq(arrivals[id], 2, "fleet %d", fleet);
    }
  }
  cr_assert_eq(answered, fleets * asks);
  cr_assert_geq(served, answered / 4);
}
