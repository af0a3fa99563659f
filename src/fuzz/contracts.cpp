#include "fuzz.hpp"
#include "json_bodies.hpp"

namespace tt {
namespace {

const std::string hash = "0123456789abcdef0123456789abcdef";

template <class Read, class Write>
FuzzOutcome tryText(const std::string& input, Read read, Write write) {
  auto got = read(input);
  if (!got) return rejectedWith(got.error(), input);
  std::string written = write(got.value());
  auto again = read(written);
  if (!again) return broken("what was written from it is refused: " + again.error().subject + ": " + written, input);
  if (write(again.value()) != written) return broken("read and written again it differs: " + written, input);
  return accepted();
}

FuzzOutcome tryWorkerOrder(Mutator& mutator) {
  static const Strings good{R"({"order_id":"o/1","model":"moss","weights":"moss/3","cache_salt":"s","parts":["a","b"],)"
                            R"("block_hashes":[")" +
                                hash + R"("],"max_tokens":40,"tenant":"olm","app":true})",
                            R"({"order_id":"o/2","move":true,"kv_transfer_params":{"remote_kv_source":)"
                            R"({"kv_request_id":"t/1","remote_host":"10.0.0.1","remote_port":80}}})"};
  return tryText(mutator.mutatedText(good), readWorkerOrder, writeWorkerOrder);
}
FuzzOutcome tryReport(Mutator& mutator) {
  static const Strings good{
      R"({"worker":"w","incarnation":"i","weights":"moss/3","model":"moss","running":1,"slots":8,"sequence":4,)"
      R"("draining":false,"term":2,"whole":false,"events":[{"sequence":3,"kind":"stored","hashes":[")" +
          hash + R"("]},{"sequence":4,"kind":"cleared","hashes":[]}]})",
      R"({"worker":"w","whole":true,"kept":[")" + hash + R"("]})"};
  return tryText(mutator.mutatedText(good), readReport, writeReport);
}
FuzzOutcome tryControl(Mutator& mutator) {
  static const Strings good{
      R"({"term":4,"holder":"core-1","action":"load","model":"moss","weights":"moss/4","incarnation":"i"})",
      R"({"worker":"w","term":4,"code":0})"};
  std::string input = mutator.mutatedText(good);
  auto asked = tryText(input, readControl, writeControl);
  if (asked.accepted || !asked.broken.empty()) return asked;
  return tryText(input, readControlReply, writeControlReply);
}
FuzzOutcome tryBlocks(Mutator& mutator) {
  static const Strings good{R"({"hashes":[")" + hash + R"("],"origins":["w"]})", R"({"hashes":[],"origins":[]})"};
  return tryText(mutator.mutatedText(good), readBlocks,
                 [](const StoreMsg& message) { return writeBlocks(message.hashes, message.origins); });
}
FuzzOutcome tryMachines(Mutator& mutator) {
  static const Strings good{
      R"({"machines":[{"name":"w","address":"10.0.0.1:80","locality":"north-a","kind":"language","leaving":true},)"
      R"({"name":"s","address":"10.0.0.2:80","locality":"north-b","kind":"store"}]})"};
  return tryText(mutator.mutatedText(good), readMachines, writeMachines);
}
FuzzOutcome tryCallerOrder(Mutator& mutator) {
  static const Strings good{R"({"route":"r","model":"m","parts":["a","b"],"repeatable":true,"maxTokens":4})",
                            R"({"route":"r","model":"m","parts":["a"],"tenant":"olm","kv_transfer_params":{"a":1}})"};
  std::string input = mutator.mutatedText(good);
  auto read = readCallerOrder(input);
  if (!read) return rejectedWith(read.error(), input);
  return read.value().parts.empty() ? broken("an order without parts is taken", input) : accepted();
}
FuzzOutcome tryWorkerLine(Mutator& mutator) {
  static const Strings good{R"({"token":"word"})", R"({"end":"done","code":0,"local":1,"fetched":2,"computed":3})",
                            R"({"end":"denied","code":201,"local":0,"fetched":0,"computed":0})"};
  std::string input = mutator.mutatedText(good);
  auto read = readWorkerLine("o", input);
  std::string written;
  if (auto* chunk = std::get_if<WorkerChunk>(&read))
    written = writeWorkerChunk(*chunk);
  else if (auto* end = std::get_if<WorkerEnd>(&read))
    written = writeWorkerEnd(*end);
  else
    return rejected();
  auto again = readWorkerLine("o", written);
  if (again.index() != read.index()) return broken("what was written from it reads otherwise: " + written, input);
  return accepted();
}

}  // namespace

void addContractTargets(FuzzTargets& targets) {
  targets.push_back({"worker-orders", 5000, tryWorkerOrder});
  targets.push_back({"reports", 5000, tryReport});
  targets.push_back({"controls", 5000, tryControl});
  targets.push_back({"blocks", 5000, tryBlocks});
  targets.push_back({"machines", 5000, tryMachines});
  targets.push_back({"caller-orders", 5000, tryCallerOrder});
  targets.push_back({"worker-lines", 5000, tryWorkerLine});
}

}  // namespace tt
