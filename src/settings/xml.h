// XML files checked by a schema: libxml2, wrapped once. The schema is compiled into the program.
//
// External entities, DTDs from outside and the network are off; a document type declaration is refused.
// All faults of a file are reported at once, each with its line.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gorsenotch::settings {

// What is wrong with a file.
struct FileFault {
    int line = 0;         // 0: of the whole file
    std::string element;  // its name; empty: of the whole file
    std::string reason;
};

// "FILE:LINE: element: reason", a line each.
std::string render(const std::string& file, const std::vector<FileFault>& faults);

// A view of an element; valid as long as its Document.
class Element {
public:
    explicit Element(void* node = nullptr) : node_(node) {}
    explicit operator bool() const { return node_ != nullptr; }
    std::string name() const;
    int line() const;
    bool has(const char* attribute) const;
    // Defaults of the schema are filled in. Empty if absent.
    std::string text(const char* attribute) const;
    double number(const char* attribute) const;  // the schema has checked it; 0 if absent
    int whole(const char* attribute) const { return static_cast<int>(number(attribute)); }
    std::uint64_t large(const char* attribute) const;
    bool yes(const char* attribute) const;
    Element child(const char* name) const;
    std::vector<Element> children(const char* name = nullptr) const;  // all elements, or those so named

private:
    void* node_;
};

// Owns a parsed document that the schema allows.
class Document {
public:
    ~Document();
    Document(Document&&) noexcept;
    Document& operator=(Document&&) noexcept;
    Element root() const;

    // Reads and checks `text`; `root` is the element wanted. Null and faults if anything is wrong.
    static std::unique_ptr<Document> parse(std::string_view text, const char* root,
                                           std::vector<FileFault>& faults);
    static std::unique_ptr<Document> load(const std::string& file, const char* root,
                                          std::vector<FileFault>& faults);

private:
    Document() = default;
    void* doc_ = nullptr;
};

// Reads all of a file; false and `why` if it can't be read or is larger than 16 MiB.
bool read_file(const std::string& file, std::string& out, std::string& why);

}  // namespace gorsenotch::settings
