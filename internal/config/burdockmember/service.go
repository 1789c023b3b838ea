package burdockmember

import (
	"fmt"
	"net/http"
	"path"
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdockrule"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// maxPromptTokens exceeds the context length of any model in use.
const maxPromptTokens burdockid.Tokens = 1 << 24

// modelPaths are reserved for the model API: a route below them would never match.
var modelPaths = []string{"/v1/chat/completions", "/v1/completions", "/v1/models"}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// keyedRoute is a route and its key in the file.
type keyedRoute struct {
	key   string
	route Route
}

func (c *checker) checkServices(services []Service) {
	var names burdockrule.Unique[burdockid.Service]
	for i, s := range services {
		key := burdocktoml.Item("service", i)
		if burdockrule.Name(&c.Checker, key+".name", s.Name) && names.Add(&c.Checker, key+".name", s.Name) {
			c.services[s.Name] = s
		}
		c.checkProfile(key, s)
		switch s.Kind {
		case KindModel:
			c.checkModel(key, s)
		case KindPlain:
			c.checkPlain(key, s)
		default:
			burdockrule.OneOf(&c.Checker, key+".kind", s.Kind, KindModel, KindPlain)
		}
	}
}

func (c *checker) checkProfile(key string, s Service) {
	if !burdockrule.Name(&c.Checker, key+".profile", s.Profile) || len(c.profiles) == 0 {
		return
	}
	profile, ok := burdockprofile.Find(c.profiles, s.Profile)
	if !ok {
		c.Add(key+".profile", fmt.Sprintf("is %q, which is no profile", s.Profile), "the name of a profile")
		return
	}
	for i, route := range s.Routes {
		if _, ok := profile.Class(route.Class); route.Class != "" && !ok {
			classKey := burdocktoml.Item(key+".route", i) + ".class"
			c.Add(classKey, fmt.Sprintf("is %q, which is no class of profile %q", route.Class, s.Profile), "the name of a class of the profile")
		}
	}
}

func (c *checker) checkModel(key string, s Service) {
	if len(s.Models) == 0 {
		c.Add(key+".models", "a model service has no name that callers could ask for", "at least one")
	}
	for i, model := range s.Models {
		modelKey := burdocktoml.Item(key+".models", i)
		if model == "" {
			c.Add(modelKey, "is empty", "a name that callers use")
		}
		c.models.Add(&c.Checker, modelKey, model)
	}
	if len(s.Routes) > 0 {
		c.Add(key+".route", "a model service has routes", "none: it is asked for by the names in models")
	}
	burdockrule.Between(&c.Checker, key+".maxPromptTokens", s.MaxPromptTokens, 1, maxPromptTokens)
}

func (c *checker) checkPlain(key string, s Service) {
	if len(s.Models) > 0 {
		c.Add(key+".models", "a plain service has models", "none: it is asked for by its routes")
	}
	if s.MaxPromptTokens != 0 {
		c.Add(key+".maxPromptTokens", "a plain service has prompts", "none")
	}
	if len(s.Routes) == 0 {
		c.Add(key+".route", "a plain service has no route", "at least one [[service.route]] table")
	}
	for i, route := range s.Routes {
		c.checkRoute(burdocktoml.Item(key+".route", i), route)
	}
}

func (c *checker) checkRoute(key string, r Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") || path.Clean(r.PathPrefix) != r.PathPrefix || strings.ContainsAny(r.PathPrefix, "?#% ") {
		c.Add(key+".pathPrefix", fmt.Sprintf("is %q", r.PathPrefix), "a plain path that starts with '/', such as /licence")
		return
	}
	for i, method := range r.Methods {
		burdockrule.OneOf(&c.Checker, burdocktoml.Item(key+".methods", i), method, methods...)
	}
	for _, reserved := range modelPaths {
		if r.PathPrefix == reserved || strings.HasPrefix(r.PathPrefix, reserved+"/") {
			c.Add(key+".pathPrefix", fmt.Sprintf("is %q, which belongs to the model API", r.PathPrefix), "another path")
		}
	}
	c.checkOverlap(keyedRoute{key: key, route: r})
}

// checkOverlap adds a finding if an earlier route has the same prefix and a method in
// common. A prefix below another one is allowed, because the longest match wins.
func (c *checker) checkOverlap(r keyedRoute) {
	for _, other := range c.routes {
		if other.route.PathPrefix == r.route.PathPrefix && sharesMethod(other.route, r.route) {
			c.Add(r.key+".pathPrefix", fmt.Sprintf("is %q for the same methods as %s", r.route.PathPrefix, other.key), "each path and method in one route")
			break
		}
	}
	c.routes = append(c.routes, r)
}

func sharesMethod(a, b Route) bool {
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) })
}
