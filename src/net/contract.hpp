#pragma once
#include "json.hpp"
#include "messages.hpp"

namespace tt {

/// What goes over HTTP as JSON, read and written in one place: docs/api.md and docs/backends.md describe it.

std::string writeWorkerOrder(const WorkerOrder& order);
Result<WorkerOrder> readWorkerOrder(const std::string& text);
std::string writeWorkerChunk(const WorkerChunk& chunk);
std::string writeWorkerEnd(const WorkerEnd& end);
/// Reads one line of a worker's stream: a chunk or the end.
std::variant<std::monostate, WorkerChunk, WorkerEnd> readWorkerLine(const std::string& orderId,
                                                                    const std::string& line);
std::string writeReport(const Report& report);
Result<Report> readReport(const std::string& text);
std::string writeControl(const ControlAsk& ask);
Result<ControlAsk> readControl(const std::string& text);
std::string writeControlReply(const ControlReply& reply);
Result<ControlReply> readControlReply(const std::string& text);
/// Hashes with where they come from: the stand-ins' own data path.
std::string writeBlocks(const Hashes& hashes, const Strings& origins);
Result<StoreMsg> readBlocks(const std::string& text);
std::string writeMachines(const MachinesReply& reply);
Result<MachinesReply> readMachines(const std::string& text);
Result<Machine> readMachine(const Json& value);
constexpr std::size_t callerBodyMost = 1u << 20;
/// Reads a caller's order; a fault names the field.
Result<CallerOrder> readCallerOrder(const std::string& text);
std::string writeVerdict(const CallerVerdict& verdict);
std::string writeChunk(const CallerChunk& chunk);

}  // namespace tt
