#include "list_reader.hpp"
#include "raw_server.hpp"

using namespace tt;
using namespace raw;

namespace {

std::string page(const Strings& ids, const std::string& next) {
  std::string rows;
  for (const auto& id : ids)
    rows += (rows.empty() ? "" : ",") + (R"({"Id":")" + id) +
            R"(","Backend":"mill","Address":"10.1.0.1:80","Zone":"north-a","Slots":8,"State":"ready"})";
  return R"({"Instances":[)" + rows + R"(],"NextToken":)" + (next.empty() ? "null" : "\"" + next + "\"") + "}";
}

/// Lists that are asked of a platform that answers with scripts, and what comes of them.
struct ListBench : Bench {
  std::vector<MachinesReply> lists;
  void ask(const RawServer& server, std::int64_t askedAt = 1) {
    std::make_shared<ListReader>(calls, server.address(), askedAt, [this](const MachinesReply& reply) {
      lists.push_back(reply);
    })->start();
  }
  Strings idsOf(std::size_t number) const {
    Strings ids;
    for (const auto& machine : lists.at(number).machines) ids.push_back(machine.name);
    return ids;
  }
};
std::string tokenOf(const std::string& request) {
  auto at = request.find("PageToken=");
  return at == std::string::npos ? std::string() : request.substr(at + 10, request.find(' ', at) - at - 10);
}

}  // namespace

Test(list_faults, pages_make_one_list) {
  ListBench bench;
  RawServer server(bench.io, [](const RawServer::Held& held, const std::string& request) {
    auto token = tokenOf(request);
    held->say(okay(token.empty() ? page({"a", "b"}, "p-2") : token == "p-2" ? page({"c"}, "p-3") : page({"d"}, "")));
  });
  bench.ask(server, 77);
  cr_assert(bench.until([&] { return bench.lists.size() == 1; }));
  cr_expect_eq(bench.lists[0].askedAt, 77);
  cr_expect(bench.idsOf(0) == (Strings{"a", "b", "c", "d"}));
}

Test(list_faults, a_token_is_one_value_of_the_query_whatever_it_holds) {
  ListBench bench;
  std::vector<std::string> tokens;
  RawServer server(bench.io, [&](const RawServer::Held& held, const std::string& request) {
    tokens.push_back(tokenOf(request));
    held->say(okay(tokens.size() == 1 ? page({"a"}, "p 50&Zone=x#%/+") : page({"b"}, "")));
  });
  bench.ask(server);
  cr_assert(bench.until([&] { return bench.lists.size() == 1; }, 2s), "the second page is asked for");
  cr_expect_eq(tokens.back(), "p%2050%26Zone%3Dx%23%25%2F%2B");
}

Test(list_faults, a_worker_on_two_pages_is_one_and_leaves_if_either_says_so) {
  ListBench bench;
  RawServer server(bench.io, [](const RawServer::Held& held, const std::string& request) {
    auto first = page({"a", "b"}, "p-2");
    if (tokenOf(request).empty()) return held->say(okay(first.replace(first.rfind("ready"), 5, "draining")));
    held->say(okay(page({"b", "c"}, "")));
  });
  bench.ask(server);
  cr_assert(bench.until([&] { return bench.lists.size() == 1; }));
  cr_expect(bench.idsOf(0) == (Strings{"a", "b", "c"}));
  cr_expect_not(bench.lists[0].machines[0].leaving);
  cr_expect(bench.lists[0].machines[1].leaving);
}

Test(list_faults, pages_that_go_round_end) {
  ListBench bench;
  RawServer server(bench.io, [](const RawServer::Held& held, const std::string& request) {
    held->say(okay(page({}, tokenOf(request) == "p-2" ? "p-3" : "p-2")));
  });
  bench.ask(server);
  bench.pass(60ms);
  cr_expect(bench.lists.empty());
  cr_expect_leq(server.copies("GET /instances"), 4u, "calls to the platform are few");
}

Test(list_faults, a_page_lost_midway_hands_nothing_over) {
  const std::vector<std::function<void(const RawServer::Held&)>> faults{
      [](const RawServer::Held& held) { held->reset(); },
      [](const RawServer::Held& held) { held->close(); },
      [](const RawServer::Held& held) { held->say("HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n"); },
      [](const RawServer::Held& held) { held->say("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"); },
      [](const RawServer::Held& held) {
        held->say("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + page({"c"}, ""));
        held->close();
      },
      [](const RawServer::Held& held) {
        held->say("HTTP/1.1 200 OK\r\n\r\n" + page({"c"}, ""));
        held->close();
      },
      [](const RawServer::Held& held) { held->say(okay(page({"c"}, "").substr(0, 30))); },
      [](const RawServer::Held& held) { held->say(okay(R"({"Instances":[{"Id":"c"}],"NextToken":null})")); },
  };
  for (const auto& fault : faults) {
    ListBench bench;
    RawServer server(bench.io, [&](const RawServer::Held& held, const std::string& request) {
      if (tokenOf(request).empty()) return held->say(okay(page({"a", "b"}, "p-2")));
      fault(held);
    });
    bench.ask(server);
    cr_assert(bench.until([&] { return server.copies("PageToken=p-2") == 1; }));
    bench.pass(15ms);
    cr_expect(bench.lists.empty());
    cr_expect_eq(server.copies("GET /instances"), 2u, "no call that the rate does not know of");
  }
}

Test(list_faults, a_late_list_bears_the_moment_when_it_was_asked_for) {
  ListBench bench;
  RawServer::Held waiting;
  RawServer server(bench.io, [&](const RawServer::Held& held, const std::string&) {
    if (!waiting) {
      waiting = held;
      return;
    }
    held->say(okay(page({"new"}, "")));
  });
  bench.ask(server, 100);
  cr_assert(bench.until([&] { return waiting != nullptr; }));
  bench.ask(server, 200);
  cr_assert(bench.until([&] { return bench.lists.size() == 1; }));
  waiting->say(okay(page({"old"}, "")));
  cr_assert(bench.until([&] { return bench.lists.size() == 2; }));
  cr_expect_eq(bench.lists[0].askedAt, 200);
  cr_expect_eq(bench.lists[1].askedAt, 100, "whoever keeps lists can tell that it is older");
}
