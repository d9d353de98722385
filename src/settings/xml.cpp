#include "settings/xml.h"

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "schema.inc"  // kSchema: schema/gorsenotch.xsd

namespace gorsenotch::settings {
namespace {

xmlNode* node(void* n) { return static_cast<xmlNode*>(n); }
const xmlChar* x(const char* s) { return reinterpret_cast<const xmlChar*>(s); }

std::string trimmed(std::string s) {
    while (!s.empty() && (s.back() == '\n' || s.back() == ' ')) s.pop_back();
    // The schema's namespace says nothing to a reader.
    const std::string space = "{urn:gorsenotch:1}";
    for (std::size_t at; (at = s.find(space)) != std::string::npos;) s.erase(at, space.size());
    return s;
}

void note(void* into, xmlErrorPtr e) {
    auto& faults = *static_cast<std::vector<FileFault>*>(into);
    if (faults.size() >= 100) return;
    std::string reason = trimmed(e->message ? e->message : "unknown fault");
    std::string element;
    if (e->node) element = reinterpret_cast<const char*>(static_cast<xmlNode*>(e->node)->name);
    const std::string prefix = "Element '" + element + "'";
    if (!element.empty() && reason.rfind(prefix, 0) == 0)
        reason.erase(0, prefix.size() + 2);  // and ": " or ", "
    faults.push_back({e->line, element, reason});
}

xmlSchemaPtr schema() {
    static xmlSchemaPtr s = [] {
        auto* parser = xmlSchemaNewMemParserCtxt(kSchema, static_cast<int>(std::strlen(kSchema)));
        auto* made = xmlSchemaParse(parser);
        xmlSchemaFreeParserCtxt(parser);
        return made;
    }();
    return s;
}

}  // namespace

std::string render(const std::string& file, const std::vector<FileFault>& faults) {
    std::string out;
    for (const auto& fault : faults) {
        out += file;
        if (fault.line > 0) out += ":" + std::to_string(fault.line);
        out += ": " + (fault.element.empty() ? std::string() : fault.element + ": ") + fault.reason + "\n";
    }
    return out;
}

std::string Element::name() const { return reinterpret_cast<const char*>(node(node_)->name); }
int Element::line() const { return static_cast<int>(xmlGetLineNo(node(node_))); }
bool Element::has(const char* a) const { return node_ && xmlHasProp(node(node_), x(a)) != nullptr; }

std::string Element::text(const char* a) const {
    if (!node_) return {};
    xmlChar* value = xmlGetProp(node(node_), x(a));
    if (!value) return {};
    std::string s = reinterpret_cast<const char*>(value);
    xmlFree(value);
    return s;
}

double Element::number(const char* a) const {
    const std::string s = text(a);
    const char* from = s.data();
    while (from < s.data() + s.size() && (*from == ' ' || *from == '+' || *from == '\n' || *from == '\t'))
        ++from;
    double v = 0;
    std::from_chars(from, s.data() + s.size(), v);
    return v;
}

std::uint64_t Element::large(const char* a) const { return std::strtoull(text(a).c_str(), nullptr, 10); }

bool Element::yes(const char* a) const {
    const std::string s = text(a);
    return s == "true" || s == "1";
}

Element Element::child(const char* name) const {
    for (const auto& element : children(name)) return element;
    return Element();
}

std::vector<Element> Element::children(const char* name) const {
    std::vector<Element> all;
    if (!node_) return all;
    for (xmlNode* c = node(node_)->children; c; c = c->next) {
        if (c->type != XML_ELEMENT_NODE) continue;
        if (!name || std::strcmp(reinterpret_cast<const char*>(c->name), name) == 0) all.emplace_back(c);
    }
    return all;
}

Document::~Document() {
    if (doc_) xmlFreeDoc(static_cast<xmlDoc*>(doc_));
}
Document::Document(Document&& o) noexcept : doc_(std::exchange(o.doc_, nullptr)) {}
Document& Document::operator=(Document&& o) noexcept {
    std::swap(doc_, o.doc_);
    return *this;
}
Element Document::root() const { return Element(xmlDocGetRootElement(static_cast<xmlDoc*>(doc_))); }

std::unique_ptr<Document> Document::parse(std::string_view text, const char* root,
                                          std::vector<FileFault>& faults) {
    const std::size_t before = faults.size();
    auto* ctxt = xmlNewParserCtxt();
    // The errors of this parse alone are gathered; nothing is printed.
    xmlSetStructuredErrorFunc(&faults, note);
    xmlDoc* doc = xmlCtxtReadMemory(ctxt, text.data(), static_cast<int>(text.size()), nullptr, nullptr,
                                    XML_PARSE_NONET | XML_PARSE_BIG_LINES);
    xmlFreeParserCtxt(ctxt);
    std::unique_ptr<Document> d(new Document);
    d->doc_ = doc;
    if (!doc && faults.size() == before) faults.push_back({0, "", "not an XML document"});
    if (doc && doc->intSubset) faults.push_back({0, "", "a document type declaration is not allowed"});
    if (faults.size() == before) {
        const Element top = d->root();
        if (!top || top.name() != root) {
            faults.push_back({top ? top.line() : 0, top ? top.name() : "",
                              std::string("the outermost element should be '") + root + "'"});
        } else {
            auto* valid = xmlSchemaNewValidCtxt(schema());
            xmlSchemaSetValidStructuredErrors(valid, note, &faults);
            xmlSchemaSetValidOptions(valid, XML_SCHEMA_VAL_VC_I_CREATE);  // fill in defaults
            xmlSchemaValidateDoc(valid, doc);
            xmlSchemaFreeValidCtxt(valid);
        }
    }
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    if (faults.size() != before) return nullptr;
    return d;
}

std::unique_ptr<Document> Document::load(const std::string& file, const char* root,
                                         std::vector<FileFault>& faults) {
    std::string text, why;
    if (!read_file(file, text, why)) {
        faults.push_back({0, "", why});
        return nullptr;
    }
    return parse(text, root, faults);
}

bool read_file(const std::string& file, std::string& out, std::string& why) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream all;
    if (!in || !(all << in.rdbuf())) {
        why = "the file can't be read or is empty";
        return false;
    }
    out = all.str();
    if (out.size() <= 16 * 1024 * 1024) return true;
    why = "the file is larger than 16 MiB";
    return false;
}

}  // namespace gorsenotch::settings
