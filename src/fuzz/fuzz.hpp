#pragma once
#include <functional>
#include <random>

#include "messages.hpp"

namespace tt {

/// Makes bent inputs out of good ones: it knows words, numbers, brackets and quoted texts, and puts others in their
/// place. The same seed makes the same inputs.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : randomSource(seed) {}
  std::uint64_t randomBelow(std::uint64_t below) { return below ? randomSource() % below : 0; }
  bool chance(std::uint64_t inSo) { return randomBelow(inSo) == 0; }
  const std::string& pick(const Strings& rows) { return rows[randomBelow(rows.size())]; }
  /// One of the good texts, bent a few times; one in sixteen is left as it is.
  std::string mutatedText(const Strings& good);
  /// Bytes bent without regard to words: for frames and records.
  std::string bentBytes(std::string bytes, const std::string& other);
  std::string boundaryNumber();
  std::string word();
  std::mt19937_64& source() { return randomSource; }

 private:
  std::mt19937_64 randomSource;
  std::string bendTextOnce(std::string text, const std::string& other);
  std::string bendTree(const std::string& text, const std::string& other);
};

/// Fills any message or carried struct with drawn values, by way of the table that makes its wire form.
class Filler {
 public:
  explicit Filler(Mutator& drawn) : mutator(drawn) {}
  Mutator& mutator;
};
void serializeField(Filler& filler, std::string& value);
void serializeField(Filler& filler, bool& value);
void serializeField(Filler& filler, int& value);
void serializeField(Filler& filler, double& value);
void serializeField(Filler& filler, std::int64_t& value);
void serializeField(Filler& filler, Uint64& value);
void serializeField(Filler& filler, BlockHash& value);
template <class T>
void serializeField(Filler& filler, T& value) {
  value.serialize(filler, 0);
}
template <class T>
void serializeField(Filler& filler, std::vector<T>& rows) {
  rows.resize(filler.mutator.randomBelow(4));
  for (auto& row : rows) serializeField(filler, row);
}

/// What one round came to. A broken property is told with the input that broke it.
struct FuzzOutcome {
  bool accepted{false};
  std::string broken, input;
};
FuzzOutcome accepted();
FuzzOutcome rejected();
FuzzOutcome broken(std::string property, std::string input);
/// What a refusal must look like: a code that is known and a subject.
FuzzOutcome rejectedWith(const Error& trouble, const std::string& input);

/// A parser and the properties that it must keep. A target may keep state from round to round.
struct FuzzTarget {
  std::string name;
  /// Its rounds in the fixed set.
  std::size_t rounds{0};
  std::function<FuzzOutcome(Mutator&)> once;
};
using FuzzTargets = std::vector<FuzzTarget>;

void addConfigurationTargets(FuzzTargets& targets);
void addContractTargets(FuzzTargets& targets);
void addFrameTargets(FuzzTargets& targets);
void addRingTargets(FuzzTargets& targets);
void addClientTargets(FuzzTargets& targets);
/// The platform's bodies and settings, where the platform is built.
void addWireTargets(FuzzTargets& targets);

/// Bytes that this thread has allocated so far, freed or not.
std::size_t allocatedBytes();

}  // namespace tt
