// Reads XML files and validates them by a schema, with libxml2. The schema is compiled into the program.
//
// External entities, external DTDs and network access are disabled; a document type declaration is rejected.
// All faults of a file are reported together, each with its line.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gorsenotch::settings {

// A fault in a file.
struct FileFault {
    int line = 0;         // 0: concerns the whole file
    std::string element;  // name of the element; empty: concerns the whole file
    std::string reason;
};

// Formats the faults as "FILE:LINE: element: reason", one per line.
std::string render(const std::string& file, const std::vector<FileFault>& faults);

// A view of an element; valid as long as its Document.
class Element {
public:
    explicit Element(void* node = nullptr) : node_(node) {}
    explicit operator bool() const { return node_ != nullptr; }
    std::string name() const;
    int line() const;
    bool has(const char* attribute) const;
    // The attribute's value, or the schema's default; empty if absent.
    std::string text(const char* attribute) const;
    double number(const char* attribute) const;  // validated by the schema; 0 if absent
    int integer(const char* attribute) const { return static_cast<int>(number(attribute)); }
    std::uint64_t unsigned_integer(const char* attribute) const;
    bool boolean(const char* attribute) const;
    Element child(const char* name) const;
    std::vector<Element> children(const char* name = nullptr) const;  // all, or those with this name

private:
    void* node_;
};

// Owns a parsed document that is valid by the schema.
class Document {
public:
    ~Document();
    Document(Document&&) noexcept;
    Document& operator=(Document&&) noexcept;
    Element root() const;

    // Parses and validates `text`; `root` is the name of the expected root element. Null, with faults added,
    // if the text is invalid.
    static std::unique_ptr<Document> parse(std::string_view text, const char* root,
                                           std::vector<FileFault>& faults);
    static std::unique_ptr<Document> load(const std::string& file, const char* root,
                                          std::vector<FileFault>& faults);

private:
    Document() = default;
    void* doc_ = nullptr;
};

// Reads a whole file. False, with the message in `error`, if it can't be read or is larger than 16 MiB.
bool read_file(const std::string& file, std::string& out, std::string& error);

}  // namespace gorsenotch::settings
