#include "choice.hpp"

#include <algorithm>
#include <sstream>

namespace tt::model {
namespace {
/// Names in the text of an event: by ChoiceKind, and by index of the message type in the variant of all messages.
const char* const kindNames[] = {
#define TT_CHOICE(name) #name,
    TT_CHOICES(TT_CHOICE)
#undef TT_CHOICE
};
const char* const messageTypeNames[] = {"nothing",
#define TT_MESSAGE_TEXT(Name, fields) #Name,
                                        TT_MESSAGES(TT_MESSAGE_TEXT)
#undef TT_MESSAGE_TEXT
};

std::optional<ChoiceKind> parseKind(const std::string& word) {
  int number = 0;
  for (const char* name : kindNames) {
    if (word == name) return static_cast<ChoiceKind>(number);
    ++number;
  }
  return std::nullopt;
}

std::optional<int> parseMessageType(const std::string& word) {
  int number = 0;
  for (const char* name : messageTypeNames) {
    if (word == name) return number;
    ++number;
  }
  return std::nullopt;
}

bool concernsMessage(ChoiceKind kind) {
  return kind == ChoiceKind::deliver || kind == ChoiceKind::drop || kind == ChoiceKind::duplicate;
}

bool hasDuration(ChoiceKind kind) {
  return kind == ChoiceKind::wait || kind == ChoiceKind::run || kind == ChoiceKind::settle;
}
}  // namespace

const char* messageTypeName(int messageType) { return messageTypeNames[messageType]; }

std::string Choice::text() const {
  std::ostringstream line;
  line << kindNames[static_cast<int>(kind)];
  if (concernsMessage(kind)) {
    line << " " << replica + 1 << " " << receiver + 1 << " " << messageTypeName(messageType) << " " << number;
  } else if (hasDuration(kind)) {
    line << " " << number;
  } else if (kind == ChoiceKind::kill || kind == ChoiceKind::power || kind == ChoiceKind::change) {
    line << " " << replica + 1 << " " << number;
  } else if (kind == ChoiceKind::join) {
    line << " " << replica + 1 << " " << receiver + 1;
  } else if (kind != ChoiceKind::live) {
    line << " " << replica + 1;
  }
  if (randomSeed) line << " luck " << randomSeed;
  return line.str();
}

Result<Choice> Choice::parse(const std::string& line) {
  std::istringstream words(line);
  std::string kindWord, typeWord, seedWord;
  Choice choice;
  words >> kindWord;
  auto kind = parseKind(kindWord);
  if (!kind) return makeError(Code::badField, kindWord, "is not a kind of event");
  choice.kind = *kind;
  bool complete = true;
  if (concernsMessage(choice.kind)) {
    complete = static_cast<bool>(words >> choice.replica >> choice.receiver >> typeWord >> choice.number);
    auto type = parseMessageType(typeWord);
    if (!type) return makeError(Code::badField, typeWord, "is not a type of message");
    choice.messageType = *type;
  } else if (hasDuration(choice.kind)) {
    complete = static_cast<bool>(words >> choice.number);
  } else if (choice.kind == ChoiceKind::kill || choice.kind == ChoiceKind::power || choice.kind == ChoiceKind::change) {
    complete = static_cast<bool>(words >> choice.replica >> choice.number);
  } else if (choice.kind == ChoiceKind::join) {
    complete = static_cast<bool>(words >> choice.replica >> choice.receiver);
  } else if (choice.kind != ChoiceKind::live) {
    complete = static_cast<bool>(words >> choice.replica);
  }
  if (!complete) return makeError(Code::badField, kindWord, "the line lacks a number: " + line);
  --choice.replica;
  --choice.receiver;
  choice.replica = std::max(choice.replica, 0);
  choice.receiver = std::max(choice.receiver, 0);
  if (words >> seedWord && seedWord == "luck") words >> choice.randomSeed;
  return choice;
}

std::string writeChoices(const std::vector<Choice>& choices) {
  std::string text;
  for (const auto& choice : choices) text += choice.text() + "\n";
  return text;
}

Result<std::vector<Choice>> parseChoices(const std::string& text) {
  std::vector<Choice> choices;
  std::istringstream source(text);
  for (std::string line; std::getline(source, line);) {
    if (line.empty() || line.front() == '#') continue;
    auto choice = Choice::parse(line);
    if (!choice) return choice.error();
    choices.push_back(choice.value());
  }
  return choices;
}

}  // namespace tt::model
