#include "choice.hpp"

#include <algorithm>
#include <sstream>

namespace tt::model {
namespace {
const char* const kindNames[] = {
#define TT_CHOICE(name) #name,
    TT_CHOICES(TT_CHOICE)
#undef TT_CHOICE
};
const char* const typeNames[] = {"nothing",
#define TT_MESSAGE_TEXT(Name, fields) #Name,
                                 TT_MESSAGES(TT_MESSAGE_TEXT)
#undef TT_MESSAGE_TEXT
};

std::optional<ChoiceKind> kindNamed(const std::string& word) {
  int number = 0;
  for (const char* name : kindNames) {
    if (word == name) return static_cast<ChoiceKind>(number);
    ++number;
  }
  return std::nullopt;
}

std::optional<int> typeNamed(const std::string& word) {
  int number = 0;
  for (const char* name : typeNames) {
    if (word == name) return number;
    ++number;
  }
  return std::nullopt;
}

bool aboutMessage(ChoiceKind kind) {
  return kind == ChoiceKind::deliver || kind == ChoiceKind::drop || kind == ChoiceKind::duplicate;
}

bool bySpan(ChoiceKind kind) {
  return kind == ChoiceKind::wait || kind == ChoiceKind::run || kind == ChoiceKind::settle;
}
}  // namespace

const char* typeName(int messageType) { return typeNames[messageType]; }

std::string Choice::text() const {
  std::ostringstream line;
  line << kindNames[static_cast<int>(kind)];
  if (aboutMessage(kind)) {
    line << " " << replica + 1 << " " << other + 1 << " " << typeName(messageType) << " " << number;
  } else if (bySpan(kind)) {
    line << " " << number;
  } else if (kind == ChoiceKind::kill || kind == ChoiceKind::power || kind == ChoiceKind::change) {
    line << " " << replica + 1 << " " << number;
  } else if (kind == ChoiceKind::join) {
    line << " " << replica + 1 << " " << other + 1;
  } else if (kind != ChoiceKind::live) {
    line << " " << replica + 1;
  }
  if (luck) line << " luck " << luck;
  return line.str();
}

Result<Choice> Choice::parse(const std::string& line) {
  std::istringstream words(line);
  std::string kindWord, typeWord, luckWord;
  Choice choice;
  words >> kindWord;
  auto kind = kindNamed(kindWord);
  if (!kind) return makeError(Code::badField, kindWord, "is not a kind of event");
  choice.kind = *kind;
  bool whole = true;
  if (aboutMessage(choice.kind)) {
    whole = static_cast<bool>(words >> choice.replica >> choice.other >> typeWord >> choice.number);
    auto type = typeNamed(typeWord);
    if (!type) return makeError(Code::badField, typeWord, "is not a type of message");
    choice.messageType = *type;
  } else if (bySpan(choice.kind)) {
    whole = static_cast<bool>(words >> choice.number);
  } else if (choice.kind == ChoiceKind::kill || choice.kind == ChoiceKind::power || choice.kind == ChoiceKind::change) {
    whole = static_cast<bool>(words >> choice.replica >> choice.number);
  } else if (choice.kind == ChoiceKind::join) {
    whole = static_cast<bool>(words >> choice.replica >> choice.other);
  } else if (choice.kind != ChoiceKind::live) {
    whole = static_cast<bool>(words >> choice.replica);
  }
  if (!whole) return makeError(Code::badField, kindWord, "the line lacks a number: " + line);
  --choice.replica;
  --choice.other;
  choice.replica = std::max(choice.replica, 0);
  choice.other = std::max(choice.other, 0);
  if (words >> luckWord && luckWord == "luck") words >> choice.luck;
  return choice;
}

std::string printChoices(const std::vector<Choice>& choices) {
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
