#include "event_queue.hpp"

#include <algorithm>

namespace tt {
namespace {
bool isLater(const ScheduledEvent& left, const ScheduledEvent& right) {
  return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
}
}  // namespace

void EventQueue::push(ScheduledEvent event) {
  event.sequence = ++lastSequence;
  heap.push_back(std::move(event));
  std::push_heap(heap.begin(), heap.end(), isLater);
}

std::optional<ScheduledEvent> EventQueue::popDue(TimePoint until) {
  if (heap.empty() || heap.front().at > until) return std::nullopt;
  std::pop_heap(heap.begin(), heap.end(), isLater);
  ScheduledEvent event = std::move(heap.back());
  heap.pop_back();
  return event;
}

}  // namespace tt
