#pragma once
#include "json.hpp"
#include "messages.hpp"

namespace tt {

/// Conversion between messages and their JSON form in HTTP bodies. docs/api.md and docs/backends.md describe the
/// formats. The read functions fail with an error that names the field.

std::string writeWorkerOrder(const WorkerOrder& order);
Result<WorkerOrder> readWorkerOrder(const std::string& text);
std::string writeWorkerChunk(const WorkerChunk& chunk);
std::string writeWorkerEnd(const WorkerEnd& end);
/// Parses one line of a worker's stream: a chunk, the end, or std::monostate if it is neither.
std::variant<std::monostate, WorkerChunk, WorkerEnd> readWorkerLine(const std::string& requestId,
                                                                    const std::string& line);
std::string writeReport(const Report& report);
Result<Report> readReport(const std::string& text);
std::string writeControl(const ControlAsk& ask);
Result<ControlAsk> readControl(const std::string& text);
std::string writeControlReply(const ControlReply& reply);
Result<ControlReply> readControlReply(const std::string& text);
/// Block hashes and where each block came from: the data path between the stand-ins of workers and stores.
std::string writeBlocks(const Hashes& hashes, const Strings& origins);
Result<StoreMsg> readBlocks(const std::string& text);
std::string writeMachines(const MachinesReply& reply);
Result<MachinesReply> readMachines(const std::string& text);
Result<Machine> readMachine(const Json& value);
/// Limit of the body of a client's request.
constexpr std::size_t maxCallerBodyBytes = 1u << 20;
/// Parses a client's request.
Result<CallerOrder> readCallerOrder(const std::string& text);
std::string writeVerdict(const CallerVerdict& verdict);
std::string writeChunk(const CallerChunk& chunk);

}  // namespace tt
