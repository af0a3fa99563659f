#include "machine_list_reader.hpp"
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

/// Requests lists from a scripted platform and records those that are delivered.
struct ListHarness : Bench {
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
std::string pageTokenOf(const std::string& request) {
  auto at = request.find("PageToken=");
  return at == std::string::npos ? std::string() : request.substr(at + 10, request.find(' ', at) - at - 10);
}

}  // namespace

Test(list_faults, pages_are_joined_to_one_list) {
  ListHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& held, const std::string& request) {
    auto token = pageTokenOf(request);
    held->say(successResponse(token.empty()    ? page({"a", "b"}, "p-2")
                              : token == "p-2" ? page({"c"}, "p-3")
                                               : page({"d"}, "")));
  });
  harness.ask(server, 77);
  cr_assert(harness.until([&] { return harness.lists.size() == 1; }));
  cr_expect_eq(harness.lists[0].askedAt, 77);
  cr_expect(harness.idsOf(0) == (Strings{"a", "b", "c", "d"}));
}

Test(list_faults, a_page_token_is_percent_encoded) {
  ListHarness harness;
  std::vector<std::string> tokens;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
    tokens.push_back(pageTokenOf(request));
    held->say(successResponse(tokens.size() == 1 ? page({"a"}, "p 50&Zone=x#%/+") : page({"b"}, "")));
  });
  harness.ask(server);
  cr_assert(harness.until([&] { return harness.lists.size() == 1; }, 2s), "the second page must be requested");
  cr_expect_eq(tokens.back(), "p%2050%26Zone%3Dx%23%25%2F%2B");
}

Test(list_faults, a_worker_on_two_pages_is_listed_once_and_leaving_if_either_page_says_so) {
  ListHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& held, const std::string& request) {
    auto first = page({"a", "b"}, "p-2");
    if (pageTokenOf(request).empty())
      return held->say(successResponse(first.replace(first.rfind("ready"), 5, "draining")));
    held->say(successResponse(page({"b", "c"}, "")));
  });
  harness.ask(server);
  cr_assert(harness.until([&] { return harness.lists.size() == 1; }));
  cr_expect(harness.idsOf(0) == (Strings{"a", "b", "c"}));
  cr_expect_not(harness.lists[0].machines[0].leaving);
  cr_expect(harness.lists[0].machines[1].leaving);
}

Test(list_faults, reading_stops_if_page_tokens_repeat) {
  ListHarness harness;
  RawServer server(harness.io, [](const RawServer::ConnectionPtr& held, const std::string& request) {
    held->say(successResponse(page({}, pageTokenOf(request) == "p-2" ? "p-3" : "p-2")));
  });
  harness.ask(server);
  harness.pass(60ms);
  cr_expect(harness.lists.empty());
  cr_expect_leq(server.copies("GET /instances"), 4u, "the number of calls to the platform must be bounded");
}

Test(list_faults, an_incomplete_list_is_not_delivered) {
  const std::vector<std::function<void(const RawServer::ConnectionPtr&)>> faults{
      [](const RawServer::ConnectionPtr& held) { held->reset(); },
      [](const RawServer::ConnectionPtr& held) { held->close(); },
      [](const RawServer::ConnectionPtr& held) { held->say("HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n"); },
      [](const RawServer::ConnectionPtr& held) { held->say("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"); },
      [](const RawServer::ConnectionPtr& held) {
        held->say("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + page({"c"}, ""));
        held->close();
      },
      [](const RawServer::ConnectionPtr& held) {
        held->say("HTTP/1.1 200 OK\r\n\r\n" + page({"c"}, ""));
        held->close();
      },
      [](const RawServer::ConnectionPtr& held) { held->say(successResponse(page({"c"}, "").substr(0, 30))); },
      [](const RawServer::ConnectionPtr& held) {
        held->say(successResponse(R"({"Instances":[{"Id":"c"}],"NextToken":null})"));
      },
  };
  for (const auto& fault : faults) {
    ListHarness harness;
    RawServer server(harness.io, [&](const RawServer::ConnectionPtr& held, const std::string& request) {
      if (pageTokenOf(request).empty()) return held->say(successResponse(page({"a", "b"}, "p-2")));
      fault(held);
    });
    harness.ask(server);
    cr_assert(harness.until([&] { return server.copies("PageToken=p-2") == 1; }));
    harness.pass(15ms);
    cr_expect(harness.lists.empty());
    cr_expect_eq(server.copies("GET /instances"), 2u,
                 "a page must not be requested again, as the rate limit does not count such a call");
  }
}

Test(list_faults, a_late_list_has_the_time_of_its_request) {
  ListHarness harness;
  RawServer::ConnectionPtr waiting;
  RawServer server(harness.io, [&](const RawServer::ConnectionPtr& held, const std::string&) {
    if (!waiting) {
      waiting = held;
      return;
    }
    held->say(successResponse(page({"new"}, "")));
  });
  harness.ask(server, 100);
  cr_assert(harness.until([&] { return waiting != nullptr; }));
  harness.ask(server, 200);
  cr_assert(harness.until([&] { return harness.lists.size() == 1; }));
  waiting->say(successResponse(page({"old"}, "")));
  cr_assert(harness.until([&] { return harness.lists.size() == 2; }));
  cr_expect_eq(harness.lists[0].askedAt, 200);
  cr_expect_eq(harness.lists[1].askedAt, 100, "the receiver must be able to tell that this list is older");
}
